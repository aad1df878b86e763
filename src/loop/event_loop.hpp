#ifndef BAMBOOHOIST_LOOP_EVENT_LOOP_HPP
#define BAMBOOHOIST_LOOP_EVENT_LOOP_HPP

#include "core/clock.hpp"
#include "core/memory_account.hpp"
#include "core/process_metrics.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <atomic>
#include <boost/intrusive/list.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace bamboohoist {

class io_watch;

/// A task that deletes itself when it is done. The loop deletes the tasks that are still pending
/// when it is destroyed.
class pending_task : public boost::intrusive::list_base_hook<
                         boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~pending_task() = default;
};

/// An ACE reactor with an inbox for tasks from other threads. Only `post()` and `request_stop()`
/// may be called from any thread; the other functions only from the thread that calls `run()`.
class event_loop
{
public:
    using task = std::function<void()>;

    /// The account may be shared with other loops; without one, memory is not limited.
    explicit event_loop(process_metrics& metrics, memory_account* memory = nullptr);
    ~event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Handles events until `request_stop()`.
    void run();

    /// Makes `run()` return after the current event. May be called from any thread.
    void request_stop();

    /// Runs a task on the loop's thread. May be called from any thread. When the bounded inbox is
    /// full, drops and counts the task and returns false.
    bool post(task function);

    /// Runs a task on this thread after the current event, bypassing the inbox.
    void defer(task function);

    /// Deletes the task when the loop is destroyed, unless it has deleted itself before.
    void dispose_on_exit(pending_task& pending);

    ACE_Reactor& reactor();
    process_metrics& metrics();

    /// The account for the bodies that are handled on this loop.
    memory_account& memory();

private:
    void drain_inbox();
    void run_deferred();

    process_metrics& metrics_;
    memory_account unlimited_memory_;
    memory_account& memory_;
    ACE_Reactor reactor_;
    std::mutex mutex_; ///< Guards `inbox_`.
    std::deque<task> inbox_;
    std::deque<task> deferred_;
    boost::intrusive::list<pending_task, boost::intrusive::constant_time_size<false>> pending_;
    int wake_fd_;
    std::unique_ptr<io_watch> wake_watch_;
    std::atomic<bool> stopping_ = false;
};

} // namespace bamboohoist

#endif
