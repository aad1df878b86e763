#include "daemon/guarded_target.hpp"

namespace bamboohoist {

guarded_target::guarded_target(guard& owner, local_target target, const service_spec& service)
    : owner_(owner), target_(std::move(target)), admission_(target_.slots_, service.queue_),
      expiry_timer_(owner.context_.loop_, [this] { drop_expired(); })
{
}

guarded_target::~guarded_target() = default;

void guarded_target::submit(const counted_ptr<guard_job>& job)
{
    if (target_.leaving_)
    {
        job->refuse(error_kind::leaving, target_.id_ + " is leaving");
        return;
    }
    const admission_request wanted{job->ticket(), job->work().organisation_, job->work().share_,
                                   job->deadline()};
    const admission_decision decision = admission_.request(wanted, owner_.context_.clock_.now());
    if (decision.displaced_)
    {
        const auto displaced = queued_.find(*decision.displaced_);
        const counted_ptr<guard_job> victim = displaced->second;
        queued_.erase(displaced);
        victim->refuse(error_kind::overloaded, "displaced by an organisation with less work");
    }
    switch (decision.verdict_)
    {
    case admission_verdict::run:
        running_.emplace(job->ticket(), job);
        job->run();
        break;
    case admission_verdict::queued:
        queued_.emplace(job->ticket(), job);
        arm_expiry();
        break;
    case admission_verdict::shed:
        job->refuse(error_kind::overloaded, target_.id_ + " has no slot in time");
        break;
    }
}

void guarded_target::end(guard_job& job, duration service_time)
{
    running_.erase(job.ticket());
    admission_.release(service_time);
    start_next();
}

void guarded_target::withdraw(guard_job& job)
{
    admission_.withdraw(job.ticket());
    queued_.erase(job.ticket());
}

void guarded_target::update(const local_target& target, const service_spec&)
{
    target_ = target;
    admission_.set_slots(target.slots_);
    start_next();
}

void guarded_target::retire()
{
    target_.leaving_ = true;
}

const local_target& guarded_target::target() const
{
    return target_;
}

target_load guarded_target::load() const
{
    return {admission_.running(), admission_.queued(), admission_.slots()};
}

double guarded_target::weight() const
{
    return 1.0;
}

bool guarded_target::idle() const
{
    return running_.empty() && queued_.empty();
}

void guarded_target::start_next()
{
    drop_expired();
    while (const auto ticket = admission_.next(owner_.context_.clock_.now()))
    {
        const auto found = queued_.find(*ticket);
        const counted_ptr<guard_job> job = found->second;
        queued_.erase(found);
        running_.emplace(*ticket, job);
        job->run();
    }
}

void guarded_target::drop_expired()
{
    for (const std::uint64_t ticket : admission_.expired(owner_.context_.clock_.now()))
    {
        const auto found = queued_.find(ticket);
        const counted_ptr<guard_job> job = found->second;
        queued_.erase(found);
        job->refuse(error_kind::deadline_exceeded, "no slot was free before the deadline");
    }
    arm_expiry();
}

void guarded_target::arm_expiry()
{
    if (queued_.empty())
    {
        expiry_timer_.cancel();
        return;
    }
    instant earliest = instant::max();
    for (const auto& [ticket, job] : queued_)
    {
        earliest = std::min(earliest, job->deadline());
    }
    expiry_timer_.arm(earliest - owner_.context_.clock_.now());
}

} // namespace bamboohoist
