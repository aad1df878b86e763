#include "policy/call_failures.hpp"

namespace bamboohoist {

namespace {

/// A target reads the failure of its call and answers the request in this time.
constexpr duration passing_on_time = std::chrono::milliseconds(100);

} // namespace

void call_failures::note(instant now)
{
    last_.store(now, std::memory_order_relaxed);
}

bool call_failures::explains_error(instant now) const
{
    const instant last = last_.load(std::memory_order_relaxed);
    return last != instant{} && now - last < passing_on_time;
}

} // namespace bamboohoist
