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

/// Routes the claims of idempotency keys of this node's guard. Each shard of claims has a holder
/// among the nodes, which writes the entries of many guards in batches. When the holder cannot be
/// reached, the guard writes to the shard itself; the store's compare-and-swap makes this safe.
class claim_router
{
public:
    using callback = claim_writer::callback;

    explicit claim_router(const traffic_context& context);

    void set_fleet(const fleet_ptr& fleet);

    /// Writes an entry. The callback gets `decided_ = false` when the deadline passed first.
    void submit(claim_record record, instant deadline, callback on_reply);

    /// Writes the completion of a claim and retries until it is decided or has expired.
    void submit_completion(claim_record record);

    /// Completions of claims that are not written to the store yet.
    std::size_t pending_completions() const;

    /// Writes an entry for another guard, with this node as the holder of the shard.
    void submit_for_peer(claim_record record, duration time_left, callback on_reply);

private:
    claim_writer& writer_for(std::string_view key);
    /// A node that can be the holder of shards.
    struct shard_holder
    {
        std::string node_;
        std::string guard_address_; ///< Address of its guard, as reached from this node.

        auto operator<=>(const shard_holder&) const = default;
    };

    const shard_holder* holder_for(std::string_view key) const;
    void forward_to_holder(std::string_view guard_address, const claim_record& record,
                           instant deadline, callback on_reply);

    const traffic_context& context_;
    consul_store store_;
    std::vector<shard_holder> holders_;
    std::map<std::uint32_t, std::unique_ptr<claim_writer>> writers_;
    std::map<std::string, std::unique_ptr<peer_link>, std::less<>> links_;
    std::size_t pending_completions_ = 0;
    lifetime lifetime_;
};

stream_message encode_claim_call(const claim_record& record, duration time_left);

/// True when a stream carries a claim and not a request for a target.
bool is_claim_call(const stream_message& message);

/// The remaining time that a claim call states; zero when it is malformed.
duration claim_time_left(const stream_message& message);

stream_message encode_claim_reply_message(const claim_reply& reply);

} // namespace bamboohoist

#endif
