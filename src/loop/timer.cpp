#include "loop/timer.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

ACE_Time_Value to_ace_time(duration delay)
{
    // Rounded up, so that a timer never fires early.
    const auto rounded =
        std::chrono::ceil<std::chrono::microseconds>(std::max(delay, duration::zero()));
    return ACE_Time_Value(rounded);
}

} // namespace

timer::timer(event_loop& loop, callback on_expiry) : loop_(loop), on_expiry_(std::move(on_expiry))
{
}

timer::~timer()
{
    cancel();
}

void timer::arm(duration delay)
{
    cancel();
    repeating_ = false;
    id_ = loop_.reactor().schedule_timer(this, nullptr, to_ace_time(delay));
}

void timer::repeat(duration period)
{
    cancel();
    repeating_ = true;
    id_ = loop_.reactor().schedule_timer(this, nullptr, to_ace_time(period), to_ace_time(period));
}

void timer::cancel()
{
    if (id_ >= 0)
    {
        loop_.reactor().cancel_timer(id_);
        id_ = -1;
    }
}

int timer::handle_timeout(const ACE_Time_Value&, const void*)
{
    if (!repeating_)
    {
        id_ = -1;
    }
    // Copied because the callback may destroy this timer.
    const callback on_expiry = on_expiry_;
    on_expiry();
    return 0;
}

} // namespace bamboohoist
