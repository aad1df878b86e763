#ifndef BAMBOOHOIST_LOOP_TIMER_HPP
#define BAMBOOHOIST_LOOP_TIMER_HPP

#include "loop/event_loop.hpp"

#include <ace/Event_Handler.h>
#include <functional>

namespace bamboohoist {

/// A timer of an event loop. The destructor cancels it. The callback may destroy it.
class timer : private ACE_Event_Handler
{
public:
    using callback = std::function<void()>;

    timer(event_loop& loop, callback on_expiry);
    ~timer() override;

    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Fires once after the delay. Replaces any earlier setting.
    void arm(duration delay);

    /// Fires repeatedly with this period. Replaces any earlier setting.
    void repeat(duration period);

    void cancel();

private:
    int handle_timeout(const ACE_Time_Value& now, const void* argument) override;

    event_loop& loop_;
    callback on_expiry_;
    long id_ = -1;
    bool repeating_ = false;
};

} // namespace bamboohoist

#endif
