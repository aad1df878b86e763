#ifndef BAMBOOHOIST_TESTING_WAIT_FOR_HPP
#define BAMBOOHOIST_TESTING_WAIT_FOR_HPP

#include "core/clock.hpp"

#include <functional>

namespace bamboohoist::testing {

/// Waits until a condition holds. False on a time-out.
bool wait_for(const std::function<bool()>& condition, duration timeout);

} // namespace bamboohoist::testing

#endif
