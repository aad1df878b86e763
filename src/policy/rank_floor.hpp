#ifndef BAMBOOHOIST_POLICY_RANK_FLOOR_HPP
#define BAMBOOHOIST_POLICY_RANK_FLOOR_HPP

#include "core/clock.hpp"
#include "policy/queued_request.hpp"
#include "policy/rank_map.hpp"

#include <cstdint>
#include <span>

namespace bamboohoist {

/// Keeps a rank from starving. A rank has work while a request of it is queued, or was refused a
/// slot at once within the last second. Each slot that is granted from the queue credits every rank
/// with work with a little more than a quarter of an equal part of its time, and costs the rank
/// that got it one slot. Credit is counted in slots of the rank's own run time: a rank of long
/// requests would otherwise take most of the time of a target before the short ones of a higher
/// rank. A rank is owed a slot for each whole slot of its credit; its requests then go before
/// higher ranks.
///
/// Refused requests count, because the queue of a busy target is filled by higher ranks and would
/// otherwise hide the demand of lower ones. The credits of one slot sum up to about a quarter of
/// it, so the other slots follow the ranks. With a single rank nothing depends on it.
class rank_floor
{
public:
    /// Records that a request has arrived and did not get a slot at once.
    void record_demand(const queued_request& request, instant now);

    /// Records that a queued request gets a slot. `queue` still contains it.
    void record_grant(const queued_request& granted, std::span<const queued_request> queue,
                      instant now);

    /// Slots that the rank is owed before higher ranks get one, if `reserved` of its credit is
    /// kept.
    std::int64_t owed(const request_rank& rank, double reserved = 0.0) const;

    /// The part of a slot that the rank has been credited with.
    double credit(const request_rank& rank) const;

private:
    struct account
    {
        double credit_ = 0.0;
        instant wanted_;      ///< Latest time at which a request of this rank wanted a slot.
        duration run_time_{}; ///< Expected one of the latest request.
    };

    rank_map<account> accounts_;
};

} // namespace bamboohoist

#endif
