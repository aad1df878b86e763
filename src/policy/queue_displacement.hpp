#ifndef BAMBOOHOIST_POLICY_QUEUE_DISPLACEMENT_HPP
#define BAMBOOHOIST_POLICY_QUEUE_DISPLACEMENT_HPP

#include "policy/admission_order.hpp"

#include <optional>

namespace bamboohoist {

/// A queued request that is shed so that another gets its place.
struct displacement
{
    std::size_t index_ = 0; ///< In the queue.
    bool by_rank_ = false;  ///< It is shed for its lower rank.
};

/// The request that `added` displaces from a full queue; empty when `added` itself is shed. The
/// first rule that finds one decides:
///
/// 1. the youngest request of the lowest rank, if that rank is lower than that of `added`, or
/// `added`
///    is owed a slot. Requests that are owed a slot themselves are left out;
/// 2. within the rank, the youngest request of the organisation with the largest weighted part of
///    the rank's queue, if that is more than the organisation of `added` would have;
/// 3. within the rank, the request with the latest deadline, which has the most time to run on
///    another target, if it is of the same organisation and later than `added`.
std::optional<displacement> find_displacement(const queued_request& added,
                                              std::span<const queued_request> queue,
                                              const admission_order& order);

/// The first rule of `find_displacement()` alone.
std::optional<std::size_t> find_lower_rank(const queued_request& added,
                                           std::span<const queued_request> queue,
                                           const admission_order& order);

} // namespace bamboohoist

#endif
