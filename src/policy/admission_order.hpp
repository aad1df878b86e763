#ifndef BAMBOOHOIST_POLICY_ADMISSION_ORDER_HPP
#define BAMBOOHOIST_POLICY_ADMISSION_ORDER_HPP

#include "policy/fair_share.hpp"
#include "policy/rank_floor.hpp"

namespace bamboohoist {

/// The order in which queued requests of one target get its slots: a rank that is owed a slot first
/// (`rank_floor`), then the highest rank; within a rank the organisation that has received the
/// least of this rank's slots relative to its share, and within an organisation the earliest
/// deadline. Service is counted for each rank by itself: otherwise the slots that a rank gets would
/// erase how far behind the organisations of a lower rank are.
class admission_order
{
public:
    /// The index of the request that gets the next free slot; the size of the queue if it is empty.
    std::size_t next(std::span<const queued_request> queue) const;

    /// The run time of the queued requests that go before `added`. Within a rank these are the
    /// requests with an earlier deadline. Lower ranks only count where they are owed a slot.
    duration run_time_before(const queued_request& added,
                             std::span<const queued_request> queue) const;

    /// For each queued request, whether it is owed a slot before higher ranks.
    std::vector<bool> owed(std::span<const queued_request> queue) const;

    /// Whether a request would be owed a slot if it joined the queue.
    bool is_owed(const queued_request& added, std::span<const queued_request> queue) const;

    /// Records that a request has arrived and did not get a slot at once.
    void record_demand(const queued_request& request, instant now);

    /// Records that a request got a slot without waiting.
    void record_service(const queued_request& request);

    /// Records that a queued request gets a slot. `queue` still contains it.
    void record_grant(const queued_request& request, std::span<const queued_request> queue,
                      instant now);

private:
    request_rank next_rank(std::span<const queued_request> queue) const;

    rank_floor floor_;
    rank_map<fair_share> shares_;
};

} // namespace bamboohoist

#endif
