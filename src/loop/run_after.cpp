#include "loop/run_after.hpp"

#include "loop/timer.hpp"

namespace bamboohoist {

namespace {

/// Runs a function when its timer expires, then deletes itself.
class one_shot_timer : public pending_task
{
public:
    one_shot_timer(event_loop& loop, duration delay, event_loop::task function)
        : loop_(loop), function_(std::move(function)), timer_(loop, [this] { on_expiry(); })
    {
        loop.dispose_on_exit(*this);
        timer_.arm(delay);
    }

private:
    void on_expiry()
    {
        function_();
        loop_.defer([this] { delete this; });
    }

    event_loop& loop_;
    event_loop::task function_;
    timer timer_;
};

} // namespace

void run_after(event_loop& loop, duration delay, event_loop::task function)
{
    // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): the object deletes itself.
    new one_shot_timer(loop, delay, std::move(function));
}

} // namespace bamboohoist
