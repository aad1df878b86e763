#include "policy/target_health.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace bamboohoist {

namespace {

/// A request this many times slower than the median counts as slow.
constexpr double slow_factor = 3.0;
/// Below this time no answer is slow, whatever is usual.
constexpr double least_slow_ms = 5.0;
constexpr double least_stall_ms = 50.0;
constexpr double unknown_stall_ms = 1000.0;
/// The share of bad requests that a healthy target is granted at least.
constexpr double least_usual_share = 0.03;
constexpr double usual_share_factor = 1.5;
constexpr double most_usual_share = 0.6;
/// The share of bad requests that the test looks for: this far above the usual.
constexpr double ill_share_above = 0.3;
constexpr double most_ill_share = 0.95;
/// Evidence of one refused connection relative to the threshold.
constexpr double refusal_weight = 0.51;
/// A request without an answer after the stall limit is far rarer among healthy targets than a
/// slow one.
constexpr double stall_rarity = 0.25;
constexpr double least_stall_share = 0.01;
/// Further stalls of one request tell little that is new.
constexpr double repeated_stall_gain = 0.7;
/// A short pause of a target shows in many requests at once, and must not pass for many failures.
constexpr duration evidence_window = std::chrono::milliseconds(200);
constexpr double first_ramp = 0.05;
constexpr double cold_ramp = 0.2;
/// Share of the threshold that is still held against a target which is back from a trial.
constexpr double back_evidence = 0.25;
constexpr double ramp_per_good = 1.1;
constexpr double ramp_per_second = 2.0;
/// A target that stays good for this long gets the short hold again.
constexpr duration forgive_after = std::chrono::seconds(60);

} // namespace

health_limits limits_for(health_goal goal)
{
    constexpr std::array<health_limits, 3> table{{
        {8.0, 0.3, 0.5, std::chrono::seconds(2), std::chrono::seconds(60), 8.0, 0, 0.0},
        {14.0, 0.2, 0.75, std::chrono::seconds(2), std::chrono::seconds(60), 8.0, 0, 0.0},
        {4.0, 0.85, 0.8, std::chrono::seconds(3), std::chrono::seconds(6), 2.0, 2, 0.5},
    }};
    return table[static_cast<std::size_t>(goal)];
}

bool has_trials(health_goal goal)
{
    return limits_for(goal).trial_answers_ > 0;
}

target_health::target_health(health_goal goal) : target_health(limits_for(goal)) {}

target_health::target_health(const health_limits& limits) : limits_(limits) {}

bool target_health::observe(observation seen, const service_baseline& baseline, instant now)
{
    const double gain = evidence_of(seen, baseline);
    if (seen == observation::slow || seen == observation::stalled ||
        seen == observation::still_stalled)
    {
        add_pause_evidence(gain, now);
    }
    else
    {
        evidence_ += gain;
    }
    if (seen == observation::good)
    {
        trial_left_ -= trial_left_ > 0 ? 1 : 0;
    }
    trial_good_ = seen == observation::stalled ? 0 : trial_good_;
    count(seen);
    if (evidence_ <= 0.0)
    {
        evidence_ = 0.0;
        slow_ = errors_ = lost_ = stalled_ = refused_ = good_ = 0;
    }
    evidence_ = std::min(evidence_, 2.0 * limits_.threshold_);
    if (seen == observation::good && returning_)
    {
        ramp_ = std::min(1.0, ramp_ * ramp_per_good);
    }
    if (!ejected_ && evidence_ >= limits_.threshold_)
    {
        return eject(now);
    }
    return false;
}

double target_health::evidence_of(observation seen, const service_baseline& baseline) const
{
    const double usual_share = std::clamp(baseline.bad_fraction_ * usual_share_factor,
                                          least_usual_share, most_usual_share);
    const double ill_share = std::min(usual_share + ill_share_above, most_ill_share);
    switch (seen)
    {
    case observation::good:
        return std::min(-limits_.least_relief_, std::log((1.0 - ill_share) / (1.0 - usual_share)));
    case observation::unreachable:
        return limits_.threshold_ * refusal_weight;
    case observation::stalled:
        return std::log(ill_share / std::max(least_stall_share, usual_share * stall_rarity));
    case observation::still_stalled:
        return repeated_stall_gain;
    case observation::dependency_error:
        return 0.0;
    default:
        return std::log(ill_share / usual_share);
    }
}

void target_health::add_pause_evidence(double gain, instant now)
{
    if (now - window_begin_ >= evidence_window)
    {
        window_begin_ = now;
        window_gain_ = 0.0;
    }
    const double room = limits_.threshold_ * limits_.share_per_window_ - window_gain_;
    const double added = std::clamp(gain, 0.0, std::max(room, 0.0));
    window_gain_ += added;
    evidence_ += added;
}

void target_health::count(observation seen)
{
    good_ += seen == observation::good ? 1 : 0;
    slow_ += seen == observation::slow ? 1 : 0;
    errors_ += seen == observation::error ? 1 : 0;
    lost_ += seen == observation::lost ? 1 : 0;
    stalled_ += seen == observation::stalled || seen == observation::still_stalled ? 1 : 0;
    refused_ += seen == observation::unreachable ? 1 : 0;
}

bool target_health::advance(instant now)
{
    if (ejected_ && now - ejected_at_ >= hold_)
    {
        ejected_ = false;
        returning_ = true;
        trial_left_ = limits_.trial_answers_;
        ramp_ = first_ramp;
        ramped_at_ = now;
        evidence_ = limits_.threshold_ / 2.0;
        return true;
    }
    if (!ejected_ && returning_)
    {
        const double elapsed_s = std::chrono::duration<double>(now - ramped_at_).count();
        // Evidence against it stops the ramp; without evidence it rises with time as well.
        if (evidence_ <= limits_.threshold_ / 2.0)
        {
            ramp_ = std::min(1.0, ramp_ * std::pow(ramp_per_second, elapsed_s));
        }
        ramped_at_ = now;
        returning_ = ramp_ < 1.0;
    }
    return false;
}

observation target_health::classify(double latency_ms, bool server_error,
                                    const service_baseline& baseline)
{
    if (server_error)
    {
        return observation::error;
    }
    const double limit = std::max(least_slow_ms, slow_factor * baseline.latency_ms_);
    const bool slow = baseline.latency_ms_ > 0.0 && latency_ms > limit;
    return slow ? observation::slow : observation::good;
}

duration target_health::stall_limit(const service_baseline& baseline) const
{
    if (baseline.latency_ms_ <= 0.0)
    {
        return from_ms(unknown_stall_ms);
    }
    return from_ms(std::max(least_stall_ms, limits_.stall_factor_ * baseline.latency_ms_));
}

double target_health::weight() const
{
    if (ejected_)
    {
        return 0.0;
    }
    const double doubt = std::min(1.0, evidence_ / limits_.threshold_);
    return std::max(0.05, ramp_ * (1.0 - limits_.doubt_cost_ * doubt * doubt));
}

bool target_health::ejected() const
{
    return ejected_;
}

bool target_health::on_probation() const
{
    return !ejected_ && trial_left_ > 0;
}

bool target_health::admit_trial(instant now)
{
    // A good answer is followed up at once.
    const bool due = trial_good_ > 0 ? !trying_ : now - tried_at_ >= trial_period;
    if (!ejected_ || limits_.trial_answers_ == 0 || !due)
    {
        return false;
    }
    trying_ = true;
    tried_at_ = now;
    // The hold is for targets that no trial reaches.
    ejected_at_ = now;
    return true;
}

bool target_health::end_trial(bool good)
{
    if (!ejected_)
    {
        return false;
    }
    trying_ = false;
    trial_good_ = good ? trial_good_ + 1 : 0;
    if (trial_good_ < limits_.trial_answers_)
    {
        return false;
    }
    ejected_ = false;
    returning_ = false;
    ramp_ = 1.0;
    evidence_ = limits_.threshold_ * back_evidence;
    return true;
}

std::string target_health::describe_evidence() const
{
    char text[160];
    std::snprintf(text, sizeof text,
                  "evidence %.1f of %.1f: %u stalled, %u slow, %u errors, %u lost, %u refused, "
                  "%u good",
                  evidence_, limits_.threshold_, stalled_, slow_, errors_, lost_, refused_, good_);
    return text;
}

void target_health::set_goal(health_goal goal)
{
    limits_ = limits_for(goal);
}

void target_health::restart(instant now)
{
    *this = target_health(limits_);
    returning_ = true;
    ramp_ = cold_ramp;
    ramped_at_ = now;
}

bool target_health::eject(instant now)
{
    const bool flaps = hold_ > duration::zero() && now - ejected_at_ < forgive_after + hold_;
    hold_ = flaps ? std::min(hold_ * 2, limits_.longest_hold_) : limits_.first_hold_;
    ejected_ = true;
    returning_ = false;
    ejected_at_ = now;
    tried_at_ = now;
    trial_good_ = 0;
    trying_ = false;
    return true;
}

} // namespace bamboohoist
