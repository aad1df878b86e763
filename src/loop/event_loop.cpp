#include "loop/event_loop.hpp"

#include "loop/io_watch.hpp"

#include <ace/Thread.h>
#include <ace/Timer_Queue.h>
#include <algorithm>
#include <cstdint>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

namespace bamboohoist {

namespace {

constexpr rlim_t max_handles = 16384;
constexpr std::size_t max_inbox_tasks = 65536;

/// The limit of open descriptors of this process, capped to keep the table of the reactor small.
std::size_t handle_limit()
{
    rlimit limit{};
    const bool has_limit = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    return has_limit ? std::min(limit.rlim_cur, max_handles) : max_handles;
}

/// Clock of the timer queue. Monotonic, so that setting the wall clock does not affect timers.
ACE_Time_Value monotonic_time()
{
    timespec now{};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    return ACE_Time_Value(now);
}

} // namespace

event_loop::event_loop(process_metrics& metrics, memory_account* memory)
    : metrics_(metrics), memory_(memory != nullptr ? *memory : unlimited_memory_),
      reactor_(new ACE_Dev_Poll_Reactor(handle_limit(), true), true),
      wake_fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    reactor_.timer_queue()->gettimeofday(&monotonic_time);
    wake_watch_ = std::make_unique<io_watch>(*this, wake_fd_, [this](io_events) { drain_inbox(); });
    wake_watch_->set(io_events::read);
}

event_loop::~event_loop()
{
    pending_.clear_and_dispose([](pending_task* pending) { delete pending; });
    wake_watch_.reset();
    ::close(wake_fd_);
}

void event_loop::run()
{
    stopping_ = false;
    // The thread that runs the loop may differ from the one that constructed it.
    reactor_.owner(ACE_Thread::self());
    run_deferred();
    while (!stopping_)
    {
        reactor_.handle_events();
        run_deferred();
    }
}

void event_loop::request_stop()
{
    stopping_ = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wake_fd_, &one, sizeof one);
}

bool event_loop::post(task function)
{
    {
        const std::lock_guard lock(mutex_);
        if (inbox_.size() >= max_inbox_tasks)
        {
            metrics_.add(counter::inbox_overflows);
            return false;
        }
        inbox_.push_back(std::move(function));
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wake_fd_, &one, sizeof one);
    return true;
}

memory_account& event_loop::memory()
{
    return memory_;
}

process_metrics& event_loop::metrics()
{
    return metrics_;
}

void event_loop::defer(task function)
{
    deferred_.push_back(std::move(function));
}

void event_loop::dispose_on_exit(pending_task& pending)
{
    pending_.push_back(pending);
}

ACE_Reactor& event_loop::reactor()
{
    return reactor_;
}

void event_loop::drain_inbox()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes_read = ::read(wake_fd_, &count, sizeof count);
    std::deque<task> tasks;
    {
        const std::lock_guard lock(mutex_);
        tasks.swap(inbox_);
    }
    for (task& function : tasks)
    {
        function();
        run_deferred();
    }
}

void event_loop::run_deferred()
{
    while (!deferred_.empty())
    {
        const task function = std::move(deferred_.front());
        deferred_.pop_front();
        function();
    }
}

} // namespace bamboohoist
