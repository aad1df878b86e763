#include "daemon/guarded_target.hpp"

#include "wire/connect_probe.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(20);
constexpr duration death_probe_timeout = std::chrono::milliseconds(100);
constexpr std::size_t max_senders = 32;

} // namespace

guarded_target::guarded_target(guard& owner, local_target target, const service_spec& service)
    : owner_(owner), target_(std::move(target)),
      client_(owner.context_.loop_, service.max_connections_),
      admission_(target_.slots_, service.queue_limit_), health_(service.health_goal_),
      expiry_timer_(owner.context_.loop_, [this] { drop_expired(); }),
      tick_timer_(owner.context_.loop_, [this] { tick(); })
{
}

guarded_target::~guarded_target() = default;

void guarded_target::submit(const ref_ptr<guard_job>& job)
{
    baseline_.add(job->work().baseline_);
    note_sender(job->work().ingress_node_);
    if (target_.leaving_)
    {
        job->refuse(error_kind::leaving, target_.id_ + " is leaving");
        return;
    }
    if (health_.ejected() && !job->work().last_resort_ && !admit_trial(*job))
    {
        // The ingress has not heard of the ejection yet, or another one has just tried the target.
        job->refuse(error_kind::target_ejected, target_.id_ + " is ejected");
        return;
    }
    if (health_.on_probation() && !running_.empty() && !job->work().last_resort_)
    {
        job->refuse(error_kind::target_ejected, target_.id_ + " is on trial with one request");
        return;
    }
    if (refuse_suspect(*job))
    {
        return;
    }
    if (job->needs_claim())
    {
        if (admission_.queued() >= admission_.queue_limit())
        {
            // A claim for work that would be shed is a store write for nothing.
            job->refuse(error_kind::overloaded, target_.id_ + " has no slot in time");
            return;
        }
        job->claim();
        return;
    }
    admit(job);
}

void guarded_target::admit(const ref_ptr<guard_job>& job)
{
    if (target_.leaving_)
    {
        job->refuse(error_kind::leaving, target_.id_ + " is leaving");
        return;
    }
    const admission_request wanted{job->ticket(), job->work().organisation_, job->work().share_,
                                   job->deadline(), from_ms(job->work().baseline_.latency_ms_)};
    const admission_decision decision = admission_.request(wanted, owner_.context_.clock_.now());
    if (decision.displaced_ticket_)
    {
        const auto displaced = queued_.find(*decision.displaced_ticket_);
        const ref_ptr<guard_job> victim = displaced->second;
        queued_.erase(displaced);
        victim->refuse(error_kind::overloaded, "displaced by an organisation with less work");
    }
    switch (decision.result_)
    {
    case admission_result::run:
        run(job);
        break;
    case admission_result::queued:
        queued_.emplace(job->ticket(), job);
        arm_expiry();
        break;
    case admission_result::shed:
        job->refuse(error_kind::overloaded, target_.id_ + " has no slot in time");
        break;
    }
}

void guarded_target::end(guard_job& job, observation seen)
{
    // A job that was counted while it stalled is not counted again.
    if (job.stalls() == 0 || seen == observation::lost || seen == observation::unreachable)
    {
        observe(seen);
    }
    if (seen == observation::good)
    {
        owner_.crashes_.clear(job.fingerprint());
    }
    end_trial(job, seen == observation::good || seen == observation::dependency_error);
    release(job, seen == observation::good || seen == observation::slow);
}

void guarded_target::end_cancelled(guard_job& job)
{
    const double held_ms = to_ms(owner_.context_.clock_.now() - job.started());
    const observation seen = target_health::classify(held_ms, false, job.work().baseline_);
    if (job.stalls() == 0 && seen == observation::slow)
    {
        observe(seen);
    }
    end_trial(job, false);
    release(job, false);
}

bool guarded_target::admit_trial(guard_job& job)
{
    const bool admitted = job.work().trial_ && health_.admit_trial(owner_.context_.clock_.now());
    job.set_trial(admitted);
    return admitted;
}

void guarded_target::end_trial(const guard_job& job, bool good)
{
    if (job.trial() && health_.end_trial(good && job.stalls() == 0))
    {
        report_verdict("health: requests of a trial were answered");
    }
}

void guarded_target::check_death(std::function<void(bool)> on_known)
{
    death_waiters_.push_back(std::move(on_known));
    if (death_waiters_.size() > 1)
    {
        return;
    }
    in_hand_at_loss_ = fingerprints_in_hand();
    const endpoint address = parse_endpoint(target_.address_).value_or(endpoint{});
    probe_connection(owner_.context_.loop_, address, death_probe_timeout,
                     [this, alive = lifetime_.watch()](probe_result result) {
                         if (!alive)
                         {
                             return;
                         }
                         const bool dead = result == probe_result::refused;
                         if (dead)
                         {
                             on_death(in_hand_at_loss_);
                         }
                         const auto waiters = std::move(death_waiters_);
                         death_waiters_.clear();
                         for (const auto& waiter : waiters)
                         {
                             waiter(dead);
                         }
                     });
}

void guarded_target::withdraw(guard_job& job)
{
    admission_.withdraw(job.ticket());
    queued_.erase(job.ticket());
}

void guarded_target::update(const local_target& target)
{
    const bool restarted = target.incarnation_ != target_.incarnation_;
    target_ = target;
    admission_.set_slots(target.slots_);
    if (target_.leaving_)
    {
        refuse_queued(error_kind::leaving, target_.id_ + " is leaving");
    }
    if (restarted)
    {
        reported_weight_ = 1.0;
        health_.restart(owner_.context_.clock_.now());
        report_verdict("health: a restarted target starts with little work");
    }
    start_next();
}

void guarded_target::set_limits(const service_spec& service)
{
    client_.limit_connections(service.max_connections_);
    health_.set_goal(service.health_goal_);
    admission_.set_queue_limit(service.queue_limit_);
}

void guarded_target::retire()
{
    target_.leaving_ = true;
    refuse_queued(error_kind::leaving, target_.id_ + " is leaving");
}

void guarded_target::refuse_queued(error_kind kind, std::string_view why)
{
    const job_map waiting = std::move(queued_);
    queued_.clear();
    for (const auto& [ticket, job] : waiting)
    {
        admission_.withdraw(ticket);
        job->refuse(kind, why);
    }
    arm_expiry();
}

http_client& guarded_target::client()
{
    return client_;
}

const local_target& guarded_target::target() const
{
    return target_;
}

const service_baseline& guarded_target::baseline() const
{
    return baseline_.baseline();
}

target_load guarded_target::load() const
{
    return {admission_.running(), admission_.queued(), admission_.slots()};
}

double guarded_target::weight() const
{
    return health_.weight();
}

bool guarded_target::idle() const
{
    return running_.empty() && queued_.empty() && death_waiters_.empty();
}

bool guarded_target::refuse_suspect(guard_job& job)
{
    const instant now = owner_.context_.clock_.now();
    switch (owner_.crashes_.evaluate(job.fingerprint(), now))
    {
    case crash_decision::run:
        return false;
    case crash_decision::refuse:
        job.refuse(error_kind::quarantined,
                   "requests like this were in hand when two targets died");
        return true;
    case crash_decision::isolate:
        break;
    }
    const bool other_suspect = std::ranges::any_of(running_, [&](const auto& pair) {
        return owner_.crashes_.evaluate(pair.second->fingerprint(), now) == crash_decision::isolate;
    });
    if (other_suspect)
    {
        job.refuse(error_kind::overloaded, "another suspect of a crash runs on " + target_.id_);
    }
    return other_suspect;
}

void guarded_target::run(const ref_ptr<guard_job>& job)
{
    running_.emplace(job->ticket(), job);
    if (!ticking_)
    {
        ticking_ = true;
        tick_timer_.repeat(tick_period);
    }
    job->run();
}

void guarded_target::release(guard_job& job, bool typical)
{
    running_.erase(job.ticket());
    const duration held = owner_.context_.clock_.now() - job.started();
    admission_.release(typical ? held : duration::zero());
    count_stalled();
    start_next();
}

void guarded_target::count_stalled()
{
    const auto stalled =
        std::ranges::count_if(running_, [](const auto& pair) { return pair.second->stalls() > 0; });
    admission_.set_stalled_count(static_cast<std::uint32_t>(stalled));
}

void guarded_target::start_next()
{
    drop_expired();
    while (const auto ticket = admission_.next(owner_.context_.clock_.now()))
    {
        const auto found = queued_.find(*ticket);
        const ref_ptr<guard_job> job = found->second;
        queued_.erase(found);
        run(job);
    }
}

void guarded_target::drop_expired()
{
    for (const std::uint64_t ticket : admission_.take_expired(owner_.context_.clock_.now()))
    {
        const auto found = queued_.find(ticket);
        const ref_ptr<guard_job> job = found->second;
        queued_.erase(found);
        job->refuse(error_kind::overloaded, "no slot of " + target_.id_ + " was free in time");
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
    if (const auto next = admission_.next_expiry())
    {
        expiry_timer_.arm(std::max(duration::zero(), *next - owner_.context_.clock_.now()));
    }
}

void guarded_target::observe(observation seen)
{
    const bool bad =
        seen == observation::error || seen == observation::lost || seen == observation::unreachable;
    owner_.context_.metrics_.add(counter::target_errors, bad ? 1 : 0);
    owner_.context_.metrics_.add(counter::target_stalls, seen == observation::stalled ? 1 : 0);
    if (health_.observe(seen, baseline_.baseline(), owner_.context_.clock_.now()))
    {
        refuse_queued(error_kind::target_ejected, target_.id_ + " is ejected");
        report_verdict("health: fails or dawdles far more often than its service usually does");
    }
}

void guarded_target::tick()
{
    const instant now = owner_.context_.clock_.now();
    for (const auto& [ticket, job] : running_)
    {
        if (job->note_stall(now, health_.stall_limit(job->work().baseline_)))
        {
            observe(job->stalls() == 1 ? observation::stalled : observation::still_stalled);
        }
    }
    count_stalled();
    if (health_.advance(now))
    {
        report_verdict("health: the time of the ejection is over");
    }
    else if (!health_.ejected() && reported_weight_ < 1.0 && health_.weight() > 0.9)
    {
        report_verdict("health: back to its full share");
    }
    if (running_.empty() && !health_.ejected() && reported_weight_ >= 1.0)
    {
        ticking_ = false;
        tick_timer_.cancel();
    }
}

void guarded_target::report_verdict(std::string_view rule)
{
    const double weight = health_.weight();
    // The fleet hears of three steps only; the exact weight rides on every answer.
    const double step = weight == 0.0 ? 0.0 : weight > 0.9 ? 1.0 : 0.1;
    if (step == reported_weight_)
    {
        return;
    }
    reported_weight_ = step;
    if (!ticking_)
    {
        ticking_ = true;
        tick_timer_.repeat(tick_period);
    }
    owner_.listener_.on_health_changed(target_health_change{target_.id_, step, std::string(rule),
                                                            health_.describe_evidence(), senders_});
}

void guarded_target::note_sender(std::string_view node)
{
    const auto found = std::ranges::find(senders_, node);
    if (found != senders_.end())
    {
        return;
    }
    if (senders_.size() == max_senders)
    {
        senders_.erase(senders_.begin());
    }
    senders_.emplace_back(node);
}

void guarded_target::on_death(std::vector<std::uint64_t> blamed)
{
    if (dead_incarnation_ == target_.incarnation_)
    {
        return;
    }
    dead_incarnation_ = target_.incarnation_;
    owner_.context_.metrics_.add(counter::target_crashes);
    target_crash crash;
    crash.crash_id_ = target_.id_ + "#" + target_.incarnation_;
    crash.service_ = target_.service_;
    crash.quarantined_ =
        owner_.crashes_.record_crash(crash.crash_id_, blamed, owner_.context_.clock_.now());
    crash.suspects_ = std::move(blamed);
    owner_.context_.metrics_.add(counter::quarantines, crash.quarantined_.size());
    owner_.listener_.on_crash(std::move(crash));
}

std::vector<std::uint64_t> guarded_target::fingerprints_in_hand() const
{
    std::vector<std::uint64_t> fingerprints;
    for (const auto& [ticket, job] : running_)
    {
        fingerprints.push_back(job->fingerprint());
    }
    std::ranges::sort(fingerprints);
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
    return fingerprints;
}

} // namespace bamboohoist
