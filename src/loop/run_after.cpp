#include "loop/run_after.hpp"

#include "loop/timer.hpp"

namespace bamboohoist {

namespace {

/// Owns itself until its timer has fired.
class one_shot : public pending_task
{
public:
    one_shot(event_loop& loop, duration delay, event_loop::task work)
        : loop_(loop), work_(std::move(work)), timer_(loop, [this] { fire(); })
    {
        loop.dispose_on_exit(*this);
        timer_.arm(delay);
    }

private:
    void fire()
    {
        work_();
        loop_.defer([this] { delete this; });
    }

    event_loop& loop_;
    event_loop::task work_;
    timer timer_;
};

} // namespace

void run_after(event_loop& loop, duration delay, event_loop::task work)
{
    // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): it deletes itself.
    new one_shot(loop, delay, std::move(work));
}

} // namespace bamboohoist
