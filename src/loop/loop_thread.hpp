#ifndef BAMBOOHOIST_LOOP_LOOP_THREAD_HPP
#define BAMBOOHOIST_LOOP_LOOP_THREAD_HPP

#include "core/error.hpp"
#include "core/supervisor.hpp"
#include "loop/event_loop.hpp"

#include <ace/Task.h>
#include <condition_variable>
#include <mutex>

namespace bamboohoist {

/// A thread that runs one event loop and the supervisor of everything on it. Starting waits until
/// the members have started on the new thread; stopping waits until they have stopped there.
class loop_thread : public child, private ACE_Task_Base
{
public:
    loop_thread(event_loop& loop, supervisor& members);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

private:
    enum class phase
    {
        starting,
        running,
        failed,
    };

    int svc() override;
    void enter(phase next);

    event_loop& loop_;
    supervisor& members_;
    std::mutex mutex_; ///< Guards `phase_` and `failure_`.
    std::condition_variable changed_;
    phase phase_ = phase::starting;
    reason failure_;
    bool started_ = false;
};

} // namespace bamboohoist

#endif
