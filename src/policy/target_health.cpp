#include "policy/target_health.hpp"

#include "policy/health_weight.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace bamboohoist {

namespace {

/// A request that takes this many times the median is slow.
constexpr double slow_factor = 3.0;
/// Faster responses are never slow, whatever the median.
constexpr double min_slow_ms = 5.0;
constexpr double min_stall_ms = 50.0;
constexpr double default_stall_ms = 1000.0;
/// The fraction of bad requests that is always accepted from a healthy target.
constexpr double min_bad_fraction = 0.03;
constexpr double bad_fraction_factor = 1.5;
constexpr double max_bad_fraction = 0.6;
/// The test detects a fraction of bad requests that is this far above the typical one.
constexpr double failing_fraction_margin = 0.3;
constexpr double max_failing_fraction = 0.95;
/// Evidence of one failed connection attempt, relative to the threshold.
constexpr double unreachable_evidence = 0.51;
/// On healthy targets, stalled requests are much rarer than slow ones.
constexpr double stall_fraction_factor = 0.25;
constexpr double min_stall_fraction = 0.01;
/// The number of responses that outweighs the assumed fraction of long requests.
constexpr double assumed_responses = 20.0;
/// Weight of all earlier responses against one new one.
constexpr double response_memory = 100.0;
/// Evidence of each further stall of the same request, which adds little information.
constexpr double repeated_stall_evidence = 0.7;
/// A short pause of a target delays many requests at once and must not count as many failures, so
/// the evidence of slow and stalled requests is limited within this window.
constexpr duration evidence_window = std::chrono::milliseconds(200);
constexpr double return_ramp = 0.05;
constexpr double restart_ramp = 0.2;
/// Evidence that remains after a successful trial, relative to the threshold.
constexpr double recovered_evidence = 0.25;
/// The same after an ejection for errors: the next error ejects the target again.
constexpr double recovered_evidence_after_errors = 0.5;
/// A target that fails only some of its requests passes two trials by chance too often.
constexpr std::uint32_t more_successes_after_errors = 1;
constexpr double ramp_factor_per_good_response = 1.1;
constexpr double ramp_factor_per_second = 2.0;
/// After this time without an ejection, the ejection time starts from its shortest value again.
constexpr duration flap_reset_time = std::chrono::seconds(60);

} // namespace

health_limits limits_for(health_goal goal)
{
    constexpr std::array<health_limits, 3> table{{
        {8.0, 0.3, 0.5, std::chrono::seconds(2), std::chrono::seconds(60), 8.0, 0, 0.0, 0.01},
        {14.0, 0.2, 0.75, std::chrono::seconds(2), std::chrono::seconds(60), 8.0, 0, 0.0, 0.01},
        {4.0, 0.85, 0.8, std::chrono::seconds(3), std::chrono::seconds(6), 2.0, 2, 0.5, 0.04},
    }};
    return table[static_cast<std::size_t>(goal)];
}

bool has_trials(health_goal goal)
{
    return limits_for(goal).required_successes_ > 0;
}

target_health::target_health(health_goal goal) : target_health(limits_for(goal)) {}

target_health::target_health(const health_limits& limits) : limits_(limits) {}

bool target_health::observe(observation observed, const service_baseline& baseline, instant now)
{
    const double gain = evidence_of(observed, baseline);
    if (observed == observation::slow || observed == observation::stalled ||
        observed == observation::still_stalled)
    {
        add_pause_evidence(gain, now);
    }
    else
    {
        evidence_ += gain;
    }
    if (observed == observation::good)
    {
        count_response(false);
        probation_left_ -= probation_left_ > 0 ? 1 : 0;
    }
    trial_successes_ = observed == observation::stalled ? 0 : trial_successes_;
    update_doubt(observed, now);
    count_observation(observed);
    if (evidence_ <= 0.0)
    {
        evidence_ = 0.0;
        clear_counts();
    }
    evidence_ = std::min(evidence_, 2.0 * limits_.threshold_);
    if (observed == observation::good && returning_)
    {
        ramp_ = std::min(1.0, ramp_ * ramp_factor_per_good_response);
    }
    if (!ejected_ && evidence_ >= limits_.threshold_)
    {
        return eject(now);
    }
    return false;
}

bool target_health::refute_stalls(std::uint32_t stalls, const service_baseline& baseline)
{
    const double added = evidence_of(observation::stalled, baseline) +
                         (stalls - 1) * evidence_of(observation::still_stalled, baseline);
    evidence_ = std::max(0.0, evidence_ - added);
    stalled_ -= std::min(stalled_, stalls);
    count_response(true);
    const bool other_signs = errors_ + refused_ + slow_ + lost_ + unreachable_ > 0;
    if (!ejected_ || other_signs || evidence_ > limits_.threshold_ / 2.0)
    {
        return false;
    }
    ejected_ = false;
    returning_ = false;
    ramp_ = 1.0;
    return true;
}

double target_health::evidence_of(observation observed, const service_baseline& baseline) const
{
    const double baseline_fraction = std::clamp(baseline.bad_fraction_ * bad_fraction_factor,
                                                min_bad_fraction, max_bad_fraction);
    const double failing_fraction =
        std::min(baseline_fraction + failing_fraction_margin, max_failing_fraction);
    switch (observed)
    {
    case observation::good:
        return std::min(-limits_.min_relief_,
                        std::log((1.0 - failing_fraction) / (1.0 - baseline_fraction)));
    case observation::unreachable:
        return limits_.threshold_ * unreachable_evidence;
    case observation::stalled:
        return std::log(std::max(failing_fraction, long_fraction()) /
                        std::max({min_stall_fraction, baseline_fraction * stall_fraction_factor,
                                  long_fraction()}));
    case observation::still_stalled:
        return repeated_stall_evidence;
    case observation::dependency_error:
        return 0.0;
    default:
        return std::log(failing_fraction / baseline_fraction);
    }
}

void target_health::add_pause_evidence(double gain, instant now)
{
    if (now - window_begin_ >= evidence_window)
    {
        window_begin_ = now;
        window_gain_ = 0.0;
    }
    const double window_remaining =
        limits_.threshold_ * limits_.max_window_fraction_ - window_gain_;
    const double added = std::clamp(gain, 0.0, std::max(window_remaining, 0.0));
    window_gain_ += added;
    evidence_ += added;
}

double target_health::long_fraction() const
{
    return (long_responses_ + limits_.assumed_long_fraction_ * assumed_responses) /
           (good_responses_ + assumed_responses);
}

void target_health::count_response(bool was_long)
{
    const double keep = 1.0 - 1.0 / response_memory;
    good_responses_ = good_responses_ * keep + 1.0;
    long_responses_ = long_responses_ * keep + (was_long ? 1.0 : 0.0);
}

void target_health::clear_counts()
{
    slow_ = errors_ = refused_ = lost_ = stalled_ = unreachable_ = good_ = 0;
}

void target_health::update_doubt(observation observed, instant now)
{
    if (limits_.required_successes_ == 0)
    {
        return;
    }
    if (observed == observation::error)
    {
        in_doubt_ = true;
        doubted_at_ = now;
    }
    if (observed == observation::good && probation_left_ == 0)
    {
        in_doubt_ = false;
    }
}

std::uint32_t target_health::successes_to_return() const
{
    return limits_.required_successes_ + (ejected_for_errors_ ? more_successes_after_errors : 0);
}

bool target_health::admits_unrepeatable(instant now) const
{
    return !in_doubt_ || now - doubted_at_ >= max_doubt_time;
}

void target_health::count_observation(observation observed)
{
    good_ += observed == observation::good ? 1 : 0;
    slow_ += observed == observation::slow ? 1 : 0;
    errors_ += observed == observation::error ? 1 : 0;
    refused_ += observed == observation::refused ? 1 : 0;
    lost_ += observed == observation::lost ? 1 : 0;
    stalled_ += observed == observation::stalled || observed == observation::still_stalled ? 1 : 0;
    unreachable_ += observed == observation::unreachable ? 1 : 0;
}

bool target_health::advance(instant now)
{
    if (ejected_ && now - ejected_at_ >= ejection_time_)
    {
        ejected_ = false;
        returning_ = true;
        probation_left_ = successes_to_return();
        in_doubt_ = limits_.required_successes_ > 0;
        doubted_at_ = now;
        ramp_ = return_ramp;
        ramped_at_ = now;
        evidence_ = limits_.threshold_ / 2.0;
        return true;
    }
    if (!ejected_ && returning_)
    {
        const double elapsed_s = std::chrono::duration<double>(now - ramped_at_).count();
        // The ramp also rises with time, unless there is new evidence against the target.
        if (evidence_ <= limits_.threshold_ / 2.0)
        {
            ramp_ = std::min(1.0, ramp_ * std::pow(ramp_factor_per_second, elapsed_s));
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
    const double limit = std::max(min_slow_ms, slow_factor * baseline.latency_ms_);
    const bool slow = baseline.latency_ms_ > 0.0 && latency_ms > limit;
    return slow ? observation::slow : observation::good;
}

duration target_health::stall_limit(const service_baseline& baseline) const
{
    if (baseline.latency_ms_ <= 0.0)
    {
        return from_ms(default_stall_ms);
    }
    return from_ms(std::max(min_stall_ms, limits_.stall_factor_ * baseline.latency_ms_));
}

double target_health::weight() const
{
    if (ejected_)
    {
        const bool stalled = limits_.required_successes_ > 0 && !ejected_for_errors_;
        return stalled ? stalled_weight : failing_weight;
    }
    const double evidence_ratio = std::min(1.0, evidence_ / limits_.threshold_);
    return std::max(0.05,
                    ramp_ * (1.0 - limits_.evidence_penalty_ * evidence_ratio * evidence_ratio));
}

bool target_health::ejected() const
{
    return ejected_;
}

bool target_health::on_probation() const
{
    return !ejected_ && probation_left_ > 0;
}

bool target_health::admit_trial(instant now)
{
    // After a successful trial the next one may follow immediately.
    const bool due = trial_successes_ > 0 ? !trial_running_ : now - last_trial_at_ >= trial_period;
    if (!ejected_ || limits_.required_successes_ == 0 || !due)
    {
        return false;
    }
    trial_running_ = true;
    last_trial_at_ = now;
    // Restarts the ejection time, which is for targets that get no trials.
    ejected_at_ = now;
    return true;
}

bool target_health::end_trial(bool good)
{
    if (!ejected_)
    {
        return false;
    }
    trial_running_ = false;
    trial_successes_ = good ? trial_successes_ + 1 : 0;
    if (trial_successes_ < successes_to_return())
    {
        return false;
    }
    ejected_ = false;
    returning_ = false;
    in_doubt_ = false;
    ramp_ = 1.0;
    clear_counts();
    evidence_ = limits_.threshold_ *
                (ejected_for_errors_ ? recovered_evidence_after_errors : recovered_evidence);
    return true;
}

std::string target_health::describe_evidence() const
{
    char text[160];
    std::snprintf(text, sizeof text,
                  "evidence %.1f of %.1f: %u stalled, %u slow, %u errors, %u refused, %u lost, "
                  "%u unreachable, %u good",
                  evidence_, limits_.threshold_, stalled_, slow_, errors_, refused_, lost_,
                  unreachable_, good_);
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
    ramp_ = restart_ramp;
    ramped_at_ = now;
}

bool target_health::eject(instant now)
{
    const bool flaps =
        ejection_time_ > duration::zero() && now - ejected_at_ < flap_reset_time + ejection_time_;
    ejection_time_ = flaps ? std::min(ejection_time_ * 2, limits_.max_ejection_time_)
                           : limits_.first_ejection_time_;
    ejected_ = true;
    returning_ = false;
    ejected_at_ = now;
    last_trial_at_ = now;
    ejected_for_errors_ = errors_ > 0;
    trial_successes_ = 0;
    trial_running_ = false;
    return true;
}

} // namespace bamboohoist
