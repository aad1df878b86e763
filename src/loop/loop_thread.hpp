#ifndef BAMBOOHOIST_LOOP_LOOP_THREAD_HPP
#define BAMBOOHOIST_LOOP_LOOP_THREAD_HPP

#include "core/error.hpp"
#include "core/supervisor.hpp"
#include "loop/event_loop.hpp"

#include <ace/Task.h>
#include <condition_variable>
#include <mutex>

namespace bamboohoist {

/// A thread that runs an event loop and the supervisor of all components on it. `start()` waits
/// until the components have started on the new thread, `stop()` until they have stopped on it.
class loop_thread : public child, private ACE_Task_Base
{
public:
    loop_thread(event_loop& loop, supervisor& components);

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
    /// Sets the phase and the reason for a failure, and wakes `start()`.
    void set_phase(phase next);

    event_loop& loop_;
    supervisor& components_;
    std::mutex mutex_; ///< Guards `phase_` and `failure_`.
    std::condition_variable phase_changed_;
    phase phase_ = phase::starting;
    reason failure_;
    bool started_ = false;
};

} // namespace bamboohoist

#endif
