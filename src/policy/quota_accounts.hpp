#ifndef BAMBOOHOIST_POLICY_QUOTA_ACCOUNTS_HPP
#define BAMBOOHOIST_POLICY_QUOTA_ACCOUNTS_HPP

#include "core/hash.hpp"
#include "policy/quota_account.hpp"
#include "policy/shard_owners.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboohoist {

/// Who decided about a request.
enum class quota_decider
{
    owner,       ///< The owner's reply, or a credit that it leased.
    last_reply,  ///< A refusal of the owner that is still in effect.
    fixed_share, ///< The fixed share, as no owner could be reached.
};

std::string_view to_string(quota_decider decider);

/// What an ingress decides about one request.
struct quota_decision
{
    enum class result
    {
        admitted,
        refused,
        waits, ///< For the owner's reply.
    };

    result result_ = result::admitted;
    quota_decider decider_ = quota_decider::owner;
    duration retry_after_{}; ///< For a refused request.
    double balance_ = 0.0;   ///< Credits held by the decider, for the log.
};

/// An ask and the node to send it to.
struct quota_call
{
    shard_node node_;
    quota_ask ask_;
};

/// The quota decisions of one ingress: an account for each active organisation, and which node is
/// asked. When the owner of a shard cannot be reached, the node after it is asked instead; when
/// that one cannot be reached either, the fixed share decides.
class quota_accounts
{
public:
    explicit quota_accounts(const quota_rule& rule);

    /// Before the fleet is known: among how many ingresses the rates are divided; 0 when unknown.
    void set_provisional_parts(std::size_t parts, instant now);

    /// To be called once this node knows the fleet. Before that there is nobody to ask and no fixed
    /// share. `shares` is the number of ingresses in all nodes.
    void set_fleet(const ref_ptr<const shard_owners>& owners, std::size_t shares, instant now);

    bool knows_fleet() const;

    /// Decides about a request that arrives. `draw` is a random number in `[0, 1)`.
    quota_decision decide(std::string_view organisation, const quota_limit& limit, double draw,
                          instant now);

    /// The ask to send next for an organisation with this many waiting requests, if there is one.
    std::optional<quota_call> begin_ask(std::string_view organisation, std::uint32_t waiting,
                                        instant now);

    /// Takes a reply of `node`; returns how many of the waiting requests it admits.
    /// `decide_waiting()` decides about the others.
    std::uint32_t end_ask(std::string_view organisation, std::string_view node,
                          const quota_reply& reply, std::uint32_t waiting, instant now);

    /// The ask to `node` got no reply, in time or because there is no connection. A reply can be
    /// late or lost once, so only the second time in a row is the node taken for unreachable.
    void fail_ask(std::string_view organisation, std::string_view node, bool timed_out,
                  instant now);

    /// Decides about a request that waits, after a reply or a failure.
    quota_decision decide_waiting(std::string_view organisation, double draw, instant now);

    /// Decides by the fixed share about a request that cannot wait any longer.
    quota_decision decide_without_owner(std::string_view organisation, double draw, instant now);

    void give_back(std::string_view organisation, instant taken, instant now);

    /// Removes what is not in use any more.
    void prune(instant now);

    std::size_t account_count() const;

private:
    struct entry
    {
        quota_account account_;
        quota_role role_ = quota_role::owner;      ///< Of the ask that was sent last.
        quota_role next_role_ = quota_role::owner; ///< As which kind of owner a node is asked next.
        instant fixed_until_;                      ///< No owner is asked until then.
    };

    entry* find(std::string_view organisation);
    /// Whom to ask and as what; null when nobody can be reached.
    const shard_node* choose_node(std::size_t shard, entry& item, instant now) const;
    bool is_failed(const shard_node& node, instant now) const;
    quota_decision decide_provisionally(entry& item, double draw, instant now);
    quota_decision decide_by_fixed_share(entry& item, double draw, instant now);

    quota_rule rule_;
    ref_ptr<const shard_owners> owners_;
    std::size_t shares_ = 1;
    std::size_t provisional_parts_ = 0;
    instant provisional_since_;
    instant known_since_; ///< When the fleet became known.
    std::unordered_map<std::string, entry, string_view_hash, std::equal_to<>> entries_;
    /// A node that did not reply.
    struct failed_node
    {
        instant until_; ///< It is not asked until then.
        instant failed_at_;
        std::uint32_t timeouts_ = 0; ///< Since its last reply.
    };

    std::map<std::string, failed_node, std::less<>> failed_;
};

} // namespace bamboohoist

#endif
