#include "daemon/process_check.hpp"

#include "loop/run_after.hpp"
#include "wire/connect_probe.hpp"

#include <iterator>

namespace bamboohoist {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(100);
constexpr duration closed_pause = std::chrono::milliseconds(25);

process_state state_of(probe_result result)
{
    switch (result)
    {
    case probe_result::refused:
        return process_state::ended;
    case probe_result::no_response:
        return process_state::unknown;
    default:
        return process_state::alive;
    }
}

} // namespace

process_check::process_check(event_loop& loop) : loop_(loop) {}

void process_check::start(const endpoint& address, callback on_checked)
{
    waiters_.push_back(std::move(on_checked));
    if (!running_)
    {
        address_ = address;
        probe(closed_policy::again);
    }
}

bool process_check::is_running() const
{
    return running_;
}

void process_check::probe(closed_policy policy)
{
    running_ = true;
    probed_waiters_ = waiters_.size();
    probe_connection(loop_, address_, probe_timeout,
                     [this, policy, alive = lifetime_.watch()](probe_result result) {
                         if (!alive)
                         {
                             return;
                         }
                         if (result == probe_result::closed && policy == closed_policy::again)
                         {
                             probe_later();
                             return;
                         }
                         finish(state_of(result));
                     });
}

void process_check::probe_later()
{
    // By then the listening socket of a process that ends is closed, while one that has too many
    // connections still listens.
    run_after(loop_, closed_pause, [this, alive = lifetime_.watch()] {
        if (alive)
        {
            probe(closed_policy::believe);
        }
    });
}

void process_check::finish(process_state state)
{
    const std::size_t answered = state == process_state::alive ? probed_waiters_ : waiters_.size();
    const auto later = waiters_.begin() + static_cast<std::ptrdiff_t>(answered);
    const std::vector<callback> waiters(std::make_move_iterator(waiters_.begin()),
                                        std::make_move_iterator(later));
    waiters_.erase(waiters_.begin(), later);
    const bool check_again = !waiters_.empty();
    running_ = check_again;
    for (const callback& waiter : waiters)
    {
        waiter(state);
    }
    if (check_again)
    {
        probe(closed_policy::again);
    }
}

} // namespace bamboohoist
