#ifndef BAMBOOHOIST_DAEMON_CLAIM_ROUTER_HPP
#define BAMBOOHOIST_DAEMON_CLAIM_ROUTER_HPP

#include "daemon/claim_writer.hpp"
#include "policy/fleet.hpp"
#include "store/consul_store.hpp"
#include "wire/peer_link.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bamboohoist {

/// Claims of idempotency keys for the guard of this node. Each shard has a holder among the
/// nodes, who groups what many guards want; when the holder cannot be reached the guard writes
/// the shard itself, which the store's compare-and-swap makes safe.
class claim_router
{
public:
    using callback = claim_writer::callback;

    explicit claim_router(const traffic_context& context);

    void set_fleet(const fleet_ptr& fleet);

    /// Writes an entry. The callback says `decided_ = false` when the deadline passed first.
    void submit(claim_record wanted, instant deadline, callback on_reply);

    /// Writes the end of a claim, again and again until it is settled or has expired.
    void submit_completion(claim_record ended);

    /// Ends of claims that the store has not taken yet.
    std::size_t pending_completions() const;

    /// Another guard asks this node as the holder of a shard.
    void serve(claim_record wanted, duration time_left, callback on_reply);

private:
    claim_writer& writer_of(std::string_view key);
    /// A node that may hold shards.
    struct holder
    {
        std::string node_;
        std::string guard_address_; ///< Address of its guard as reached from here.

        auto operator<=>(const holder&) const = default;
    };

    const holder* holder_of(std::string_view key) const;
    void ask_holder(std::string_view guard, const claim_record& wanted, instant deadline,
                    callback on_reply);

    const traffic_context& context_;
    consul_store store_;
    std::vector<holder> holders_;
    std::map<std::uint32_t, std::unique_ptr<claim_writer>> writers_;
    std::map<std::string, std::unique_ptr<peer_link>, std::less<>> links_;
    std::size_t ends_waiting_ = 0;
    lifetime lifetime_;
};

stream_message encode_claim_call(const claim_record& wanted, duration time_left);

/// True when a stream is a claim and not work.
bool is_claim_call(const stream_message& message);

/// The time left that a claim call names; zero when it is malformed.
duration claim_time_left(const stream_message& message);

stream_message encode_claim_reply_message(const claim_reply& reply);

} // namespace bamboohoist

#endif
