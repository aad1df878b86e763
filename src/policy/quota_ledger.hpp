#ifndef BAMBOOHOIST_POLICY_QUOTA_LEDGER_HPP
#define BAMBOOHOIST_POLICY_QUOTA_LEDGER_HPP

#include "core/hash.hpp"
#include "policy/quota_bucket.hpp"
#include "policy/shard_owners.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboohoist {

/// What a node knows about the fleet, for its work as an owner of quotas.
struct quota_fleet
{
    ref_ptr<const shard_owners> owners_;
    std::size_t alive_ = 1;            ///< Nodes that are alive, this one included.
    std::vector<std::string> cut_off_; ///< Dead nodes that may run on, ordered by name.
};

/// Finds the quota of an organisation; empty when the organisation is not declared.
using quota_lookup = std::function<std::optional<quota_limit>(std::string_view)>;

/// The owner's side of quotas at one node: which shards it decides for, and the buckets of their
/// active organisations.
///
/// In full it decides for a shard of which it is the owner, for one that it has just lost to a node
/// that joined, for one whose owner has started too recently and sends ingresses here, and for one
/// whose owner is found to be gone. For other shards after whose owner it comes, it grants only
/// what the tolerance allows on top of the owner's credits. A node that leaves sends all ingresses
/// to the node after it, so that two nodes do not grant the whole quota at the same time.
class quota_ledger
{
public:
    quota_ledger(const quota_rule& rule, std::string node);

    /// To be called once this node knows the fleet. Before that it decides about no quota.
    void set_fleet(const quota_fleet& fleet, instant now);

    /// Applies the limits of a new revision to the buckets in use.
    void update_limits(const quota_lookup& find_limit, instant now);

    /// Decides about an ask; `limit` is empty when the organisation is not declared here.
    quota_reply on_ask(const quota_ask& ask, const std::optional<quota_limit>& limit, instant now);

    /// The node that has to be checked, as the last ask says that it cannot be reached. Empty when
    /// there is none, or when it was checked a short time ago.
    std::optional<std::string> take_check();

    /// The result of a check of a node.
    void on_checked(std::string_view node, bool gone, instant now);

    /// Drops buckets that are as new ones would be.
    void prune(instant now);

    std::size_t bucket_count() const;

private:
    struct shard_state
    {
        bool main_ = false;          ///< This node decides in full.
        instant main_since_;         ///< From when on credit accrues.
        bool after_cut_off_ = false; ///< The owner before this node may run on, cut off.
        instant owned_until_;        ///< When this node was last known as the owner.
        instant sent_here_;          ///< When the owner last sent an ingress here.
        instant gone_until_;         ///< Until when the owner counts as gone.
        instant next_check_;
    };

    struct entry
    {
        quota_bucket bucket_;
        quota_limit limit_;
        std::size_t shard_ = 0;
        bool main_ = false;
        instant main_since_;
    };

    bool is_first(std::size_t shard) const;
    bool is_second(std::size_t shard) const;
    /// True when the bucket was made under another state of its shard.
    bool is_stale(const entry& item) const;
    /// True when this node leaves the fleet: it is not among the nodes that can be owners.
    bool is_leaving() const;
    /// True while this node has started too recently to know which credits are in use.
    bool is_young(instant now) const;
    void update_main(std::size_t shard, instant now);
    /// Has the owner of a shard checked, unless it was a short time ago.
    void request_check(std::size_t shard, instant now);
    void set_next_check(std::string_view node, instant next);
    quota_bucket make_bucket(const shard_state& state, const quota_limit& limit, instant now) const;
    double fraction() const;
    /// The part of a window for which this node has known the fleet. Credit that counts as accrued
    /// before a bucket was made is only so large: a process that ended may have granted the rest.
    double known_part(instant now) const;

    quota_rule rule_;
    std::string node_;
    quota_fleet fleet_;
    const shard_node* self_ = nullptr; ///< Among the owners' nodes; null when this node leaves.
    std::optional<instant> started_;   ///< When the fleet became known.
    std::vector<shard_state> shards_;
    std::unordered_map<std::string, entry, string_view_hash, std::equal_to<>> buckets_;
    std::optional<std::string> check_;
};

/// How many other nodes are checked along with an owner that cannot be reached. With 24, a failure
/// domain of 12 of 97 nodes that was cut off was taken for a dead owner in one of five draws.
constexpr std::size_t quota_check_sample = 64;

/// Decides whether an owner that cannot be reached is gone. If this node were cut off from a part
/// of the fleet, some of the other nodes could not be reached either. With few nodes this cannot be
/// told apart.
bool is_owner_gone(bool owner_reached, std::size_t others_reached, std::size_t others_checked);

} // namespace bamboohoist

#endif
