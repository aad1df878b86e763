#include "loop/loop_thread.hpp"

namespace bamboohoist {

loop_thread::loop_thread(event_loop& loop, supervisor& components)
    : loop_(loop), components_(components)
{
}

std::string_view loop_thread::name() const
{
    return components_.name();
}

bool loop_thread::start()
{
    phase_ = phase::starting;
    if (activate(THR_NEW_LWP | THR_JOINABLE, 1, 1) != 0)
    {
        fail(error_kind::internal, "cannot start a thread");
        return false;
    }
    std::unique_lock lock(mutex_);
    phase_changed_.wait(lock, [this] { return phase_ != phase::starting; });
    if (phase_ == phase::failed)
    {
        fail(failure_.kind_, failure_.text_);
        lock.unlock();
        wait();
        return false;
    }
    started_ = true;
    return true;
}

void loop_thread::stop()
{
    if (started_)
    {
        started_ = false;
        loop_.request_stop();
        wait();
    }
}

int loop_thread::svc()
{
    loop_.reactor().owner(ACE_Thread::self());
    if (!components_.start())
    {
        set_phase(phase::failed);
        return 0;
    }
    set_phase(phase::running);
    loop_.run();
    components_.stop();
    return 0;
}

void loop_thread::set_phase(phase next)
{
    const std::lock_guard lock(mutex_);
    phase_ = next;
    failure_ = last_reason();
    phase_changed_.notify_all();
}

} // namespace bamboohoist
