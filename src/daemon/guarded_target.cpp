#include "daemon/guarded_target.hpp"

#include "policy/health_weight.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(20);

} // namespace

guarded_target::guarded_target(guard& owner, local_target target, const service_spec& service)
    : owner_(owner), target_(std::move(target)),
      client_(owner.context_.loop_, service.max_connections_), process_check_(owner.context_.loop_),
      admission_(target_.slots_, service.queue_limit_), health_(service.health_goal_),
      expiry_timer_(owner.context_.loop_, [this] { refuse_expired(); }),
      tick_timer_(owner.context_.loop_, [this] { tick(); })
{
}

guarded_target::~guarded_target() = default;

void guarded_target::submit(const ref_ptr<guard_job>& job)
{
    baseline_.add(job->request().baseline_);
    senders_.record(job->request().ingress_node_);
    if (target_.leaving_)
    {
        job->refuse(error_kind::leaving, target_.id_ + " is leaving");
        return;
    }
    if (health_.ejected() && !job->request().last_resort_ && !admit_trial(*job))
    {
        // The ingress does not know of the ejection yet, or another ingress has just sent a trial.
        job->refuse(error_kind::target_ejected, target_.id_ + " is ejected");
        return;
    }
    if (health_.on_probation() && !running_.empty() && !job->request().last_resort_)
    {
        job->refuse(error_kind::target_ejected,
                    target_.id_ + " is on probation after an ejection and already runs a request");
        return;
    }
    // Under load the doubt would give the slots to requests that may be repeated, however urgent
    // the others are.
    const bool slot_free = admission_.running() < admission_.slots();
    if (!job->request().idempotent_ && slot_free && !job->request().last_resort_ &&
        !health_.admits_unrepeatable(owner_.context_.clock_.now()))
    {
        job->refuse(error_kind::target_ejected,
                    target_.id_ + " has to serve requests that may be repeated first");
        return;
    }
    if (refuse_crash_suspect(*job))
    {
        return;
    }
    if (job->needs_claim())
    {
        if (!admission_.has_place_for(job->request().rank_, owner_.context_.clock_.now()))
        {
            // The request would be shed, so the store write of its claim is avoided.
            job->refuse(error_kind::overloaded, target_.id_ + " has a full queue");
            return;
        }
        job->claim_key();
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
    const admission_request slot_request{job->ticket(),
                                         job->request().organisation_,
                                         job->request().share_,
                                         job->deadline(),
                                         from_ms(job->request().baseline_.latency_ms_),
                                         job->request().rank_};
    const admission_decision decision =
        admission_.request_slot(slot_request, owner_.context_.clock_.now());
    if (decision.displaced_ticket_)
    {
        refuse_displaced(*decision.displaced_ticket_, *job, decision.displaced_by_rank_);
    }
    switch (decision.result_)
    {
    case admission_result::admitted:
        run(job);
        break;
    case admission_result::queued:
        queued_.emplace(job->ticket(), job);
        arm_expiry();
        break;
    case admission_result::shed:
        job->refuse(error_kind::overloaded,
                    target_.id_ + " has no free slot or place in the queue in time");
        break;
    }
}

void guarded_target::refuse_displaced(std::uint64_t ticket, const guard_job& added, bool by_rank)
{
    const auto displaced = queued_.find(ticket);
    const ref_ptr<guard_job> displaced_job = displaced->second;
    queued_.erase(displaced);
    owner_.context_.metrics_.add(counter::guard_displaced_by_rank, by_rank ? 1 : 0);
    displaced_job->refuse(error_kind::overloaded,
                          "displaced from the full queue by another request" +
                              (by_rank ? " of rank " + to_string(added.request().rank_) : ""));
}

void guarded_target::finish_job(guard_job& job, observation seen)
{
    // A job whose stall was already counted is not counted again when it finishes.
    if (job.stalls() == 0 || seen == observation::lost || seen == observation::unreachable)
    {
        observe(seen);
    }
    else if (seen == observation::good || seen == observation::dependency_error)
    {
        refute_stalls(job);
    }
    if (seen == observation::good)
    {
        owner_.crash_history_.clear_suspect(job.fingerprint());
    }
    end_trial(job, seen == observation::good || seen == observation::dependency_error);
    release_slot(job, seen == observation::good || seen == observation::slow);
}

void guarded_target::refute_stalls(const guard_job& job)
{
    if (health_.refute_stalls(job.stalls(), baseline_.baseline()))
    {
        report_health_change("health: the stalled requests got good responses");
    }
}

void guarded_target::finish_cancelled_job(guard_job& job)
{
    const double slot_ms = to_ms(owner_.context_.clock_.now() - job.started());
    const observation seen = target_health::classify(slot_ms, false, job.request().baseline_);
    if (job.stalls() == 0 && seen == observation::slow)
    {
        observe(seen);
    }
    end_trial(job, false);
    release_slot(job, false);
}

bool guarded_target::admit_trial(guard_job& job)
{
    const bool admitted = job.request().trial_ && job.request().idempotent_ &&
                          health_.admit_trial(owner_.context_.clock_.now());
    job.set_trial(admitted);
    return admitted;
}

void guarded_target::end_trial(const guard_job& job, bool good)
{
    if (job.is_trial() && health_.end_trial(good && job.stalls() == 0))
    {
        report_health_change("health: trial requests succeeded");
    }
}

void guarded_target::check_for_crash(process_check::callback on_checked)
{
    process_check_.start(parse_endpoint(target_.address_).value_or(endpoint{}),
                         [this, suspects = fingerprints_in_flight(),
                          report = std::move(on_checked)](process_state state) {
                             if (state == process_state::ended && !target_.leaving_)
                             {
                                 report_crash(suspects);
                             }
                             report(state);
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
        report_health_change("health: restarted; starts with a reduced weight");
    }
    start_queued();
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

void guarded_target::add_job()
{
    ++job_count_;
}

void guarded_target::remove_job()
{
    --job_count_;
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

bool guarded_target::is_idle() const
{
    return job_count_ == 0 && !process_check_.is_running();
}

bool guarded_target::refuse_crash_suspect(guard_job& job)
{
    const instant now = owner_.context_.clock_.now();
    switch (owner_.crash_history_.evaluate(job.fingerprint(), now))
    {
    case crash_decision::run:
        return false;
    case crash_decision::refuse:
        job.refuse(error_kind::quarantined,
                   "requests with this fingerprint were running when two targets crashed");
        return true;
    case crash_decision::isolate:
        break;
    }
    const bool other_suspect = std::ranges::any_of(running_, [&](const auto& pair) {
        return owner_.crash_history_.evaluate(pair.second->fingerprint(), now) ==
               crash_decision::isolate;
    });
    if (other_suspect)
    {
        job.refuse(error_kind::overloaded, "another crash suspect is running on " + target_.id_);
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

void guarded_target::release_slot(guard_job& job, bool representative)
{
    running_.erase(job.ticket());
    const duration slot_time = job.slot_time();
    admission_.release(representative ? slot_time : duration::zero());
    update_stalled_count();
    start_queued();
}

void guarded_target::update_stalled_count()
{
    const auto stalled =
        std::ranges::count_if(running_, [](const auto& pair) { return pair.second->stalls() > 0; });
    admission_.set_stalled_count(static_cast<std::uint32_t>(stalled));
}

void guarded_target::start_queued()
{
    refuse_expired();
    while (const auto ticket = admission_.admit_next(owner_.context_.clock_.now()))
    {
        const auto found = queued_.find(*ticket);
        const ref_ptr<guard_job> job = found->second;
        queued_.erase(found);
        run(job);
    }
}

void guarded_target::refuse_expired()
{
    for (const std::uint64_t ticket : admission_.take_expired(owner_.context_.clock_.now()))
    {
        const auto found = queued_.find(ticket);
        const ref_ptr<guard_job> job = found->second;
        queued_.erase(found);
        job->refuse(error_kind::overloaded, "no slot of " + target_.id_ + " became free in time");
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
    const bool bad = seen == observation::error || seen == observation::refused ||
                     seen == observation::lost || seen == observation::unreachable;
    owner_.context_.metrics_.add(counter::target_errors, bad ? 1 : 0);
    owner_.context_.metrics_.add(counter::target_stalls, seen == observation::stalled ? 1 : 0);
    if (health_.observe(seen, baseline_.baseline(), owner_.context_.clock_.now()))
    {
        refuse_queued(error_kind::target_ejected, target_.id_ + " is ejected");
        report_health_change(
            "health: fails or is slow much more often than is typical of its service");
    }
}

void guarded_target::tick()
{
    const instant now = owner_.context_.clock_.now();
    for (const auto& [ticket, job] : running_)
    {
        if (job->count_stall(now, health_.stall_limit(job->request().baseline_)))
        {
            observe(job->stalls() == 1 ? observation::stalled : observation::still_stalled);
        }
    }
    update_stalled_count();
    if (health_.advance(now))
    {
        report_health_change("health: the ejection time is over");
    }
    else if (!health_.ejected() && reported_weight_ < 1.0 && health_.weight() > 0.9)
    {
        report_health_change("health: back to full weight");
    }
    if (running_.empty() && !health_.ejected() && reported_weight_ >= 1.0)
    {
        ticking_ = false;
        tick_timer_.cancel();
    }
}

void guarded_target::report_health_change(std::string_view rule)
{
    const double weight = health_.weight();
    // Only three steps are reported to the fleet; each response carries the exact weight.
    const double step = is_ejected_weight(weight) ? weight : weight > 0.9 ? 1.0 : 0.1;
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
    owner_.listener_.on_health_changed(target_health_change{
        target_.id_, step, std::string(rule), health_.describe_evidence(), senders_.nodes()});
}

void guarded_target::report_crash(std::vector<std::uint64_t> suspects)
{
    if (crashed_incarnation_ == target_.incarnation_)
    {
        return;
    }
    crashed_incarnation_ = target_.incarnation_;
    owner_.report_crash(target_, std::move(suspects));
}

std::vector<std::uint64_t> guarded_target::fingerprints_in_flight() const
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
