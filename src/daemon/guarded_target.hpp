#ifndef BAMBOOHOIST_DAEMON_GUARDED_TARGET_HPP
#define BAMBOOHOIST_DAEMON_GUARDED_TARGET_HPP

#include "daemon/guard_job.hpp"

#include <map>

namespace bamboohoist {

/// One target of this VM with its slots, its queue and the jobs in hand.
class guarded_target
{
public:
    guarded_target(guard& owner, local_target target, const service_spec& service);
    ~guarded_target();

    /// Takes a job into a slot or the queue, or has it refused.
    void submit(const counted_ptr<guard_job>& job);

    /// A job that held a slot has ended.
    void end(guard_job& job, duration service_time);

    /// A queued job is no longer wanted.
    void withdraw(guard_job& job);

    void update(const local_target& target, const service_spec& service);

    /// The target is no longer announced: it gets no new work.
    void retire();

    const local_target& target() const;
    target_load load() const;
    double weight() const;
    bool idle() const;

private:
    void start_next();
    void drop_expired();
    void arm_expiry();

    guard& owner_;
    local_target target_;
    admission admission_;
    std::map<std::uint64_t, counted_ptr<guard_job>> queued_;
    std::map<std::uint64_t, counted_ptr<guard_job>> running_;
    timer expiry_timer_;
};

} // namespace bamboohoist

#endif
