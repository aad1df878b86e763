#include "daemon/target_selector.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr double region_burst_s = 2.0; ///< Unused budget accumulates for this many seconds.

} // namespace

target_selector::target_selector(ingress& owner) : owner_(owner) {}

std::optional<selected_target> target_selector::select(const selection& wanted)
{
    const choice_limits limits = limits_of(wanted);
    const auto selected = select_by_path(wanted, path_filter::healthy, limits);
    // A path that failed recently is better than none.
    return selected ? selected : select_by_path(wanted, path_filter::any, limits);
}

std::optional<selected_target> target_selector::select_by_path(const selection& wanted,
                                                               path_filter paths,
                                                               const choice_limits& limits) const
{
    const std::span<const fleet_target> targets = targets_of(wanted).targets_;
    std::vector<candidate> candidates;
    candidates.reserve(targets.size());
    for (const fleet_target& target : targets)
    {
        candidates.push_back(make_candidate(wanted, target, paths));
    }
    replace_stale_loads(candidates);
    const auto choice = choose_target(candidates, limits, owner_.context_.random_);
    if (!choice)
    {
        return std::nullopt;
    }
    const fleet_target& target = targets[choice->index_];
    // Without the assumption for stale loads: the target may well be idle.
    const bool free_slot = can_hedge(make_candidate(wanted, target, path_filter::any));
    return selected_target{target, *choice, free_slot};
}

candidate target_selector::make_candidate(const selection& wanted, const fleet_target& target,
                                          path_filter paths) const
{
    const instant now = owner_.context_.clock_.now();
    candidate entry;
    entry.load_fresh_ = false;
    entry.distance_ = target.distance_;
    entry.slots_ = target.slots_;
    entry.weight_ = target.weight_;
    bool reachable = true;
    const auto found = owner_.target_stats_.find(target.id_);
    if (found != owner_.target_stats_.end())
    {
        const target_stats& stats = found->second;
        entry.load_ = std::max<double>(stats.in_flight_, stats.reported_load_);
        entry.load_fresh_ = now - stats.reported_at_ < load_max_age;
        entry.trial_due_ = stats.trials_.is_due(now);
        entry.latency_ms_ = stats.latency_ms_;
        reachable = paths == path_filter::any || stats.path_.is_usable(now);
        entry.weight_ =
            effective_weight(target.weight_, stats.reported_weight_, now - stats.reported_at_);
    }
    const bool tried =
        std::ranges::find(wanted.tried_targets_, target.id_) != wanted.tried_targets_.end();
    entry.usable_ = !target.leaving_ && !tried && reachable;
    return entry;
}

const service_targets& target_selector::targets_of(const selection& wanted) const
{
    // The newest snapshot has the newest state of the targets. It is used only while it holds the
    // revision under which the request was routed, because the service's index belongs to that.
    const bool same_revision = owner_.fleet_->active_ == wanted.fleet_->active_;
    const fleet_ptr& newest = same_revision ? owner_.fleet_ : wanted.fleet_;
    return *newest->services_[wanted.service_];
}

choice_limits target_selector::limits_of(const selection& wanted)
{
    const service_spec& service = wanted.fleet_->active_->manifest_->services_[wanted.service_];
    // A trial is likely to fail, so the request that is used for it must be able to afford a retry.
    const bool trial_affordable = owner_.budget_.has_retry(
        service.name_, wanted.organisation_, service.retry_budget_, owner_.context_.clock_.now());
    return {service.floor_, other_region_allowed(wanted), wanted.last_attempt_ || !trial_affordable,
            has_trials(service.health_goal_)};
}

bool target_selector::other_region_allowed(const selection& wanted)
{
    const auto rate = static_cast<double>(wanted.fleet_->active_->manifest_->region_bytes_per_s_);
    const instant now = owner_.context_.clock_.now();
    const double elapsed_s =
        std::chrono::duration<double>(now - owner_.region_refilled_at_).count();
    owner_.region_refilled_at_ = now;
    owner_.region_budget_bytes_ =
        std::min(owner_.region_budget_bytes_ + elapsed_s * rate, rate * region_burst_s);
    return owner_.region_budget_bytes_ > 0.0;
}

} // namespace bamboohoist
