#ifndef BAMBOOHOIST_POLICY_SHEDDING_HPP
#define BAMBOOHOIST_POLICY_SHEDDING_HPP

#include "core/clock.hpp"

#include <cstddef>

namespace bamboohoist {

/// A transfer that holds memory, as the rule for shedding sees it.
struct held_body
{
    std::size_t held_bytes_ = 0;  ///< Allocated.
    std::size_t moved_bytes_ = 0; ///< Received or sent so far.
    duration age_{};              ///< Since the transfer has started.
};

/// True when `first` is to be shed rather than `second`: the one that holds more, then the slower
/// one, then the older one.
bool is_shed_before(const held_body& first, const held_body& second);

} // namespace bamboohoist

#endif
