#ifndef BAMBOOHOIST_POLICY_QUEUED_REQUEST_HPP
#define BAMBOOHOIST_POLICY_QUEUED_REQUEST_HPP

#include "core/clock.hpp"
#include "policy/request_rank.hpp"

#include <cstdint>

namespace bamboohoist {

/// A request that waits for a slot of one target, or asks for a place in its queue. Queues hold
/// these in the order of arrival.
struct queued_request
{
    std::uint64_t ticket_ = 0;
    std::uint64_t organisation_ = 0; ///< Hash of the name.
    double share_ = 1.0;             ///< Weight of the organisation.
    request_rank rank_;
    instant deadline_;
    duration expected_run_time_{};
    instant drop_at_; ///< Expires then, to leave time for another target.
};

} // namespace bamboohoist

#endif
