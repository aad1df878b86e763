#ifndef BAMBOOHOIST_POLICY_TARGET_HEALTH_HPP
#define BAMBOOHOIST_POLICY_TARGET_HEALTH_HPP

#include "core/clock.hpp"
#include "policy/manifest.hpp"

#include <cstdint>
#include <string>

namespace bamboohoist {

/// Typical values of a service, over all of its targets.
struct service_baseline
{
    double latency_ms_ = 0.0;   ///< Median time in a slot; 0 while unknown.
    double bad_fraction_ = 0.0; ///< Fraction of requests that fail or are slow.
};

/// The result of one request as an observation of its target.
enum class observation
{
    good,
    slow,             ///< A response, but much later than typical.
    error,            ///< A server error.
    lost,             ///< The connection was lost.
    stalled,          ///< No response yet after the stall limit.
    still_stalled,    ///< The same request, after a further stall limit.
    unreachable,      ///< No connection could be opened.
    refused,          ///< The target reported that it did not run the request.
    dependency_error, ///< A server error that was caused by a failed call of the target.
};

/// The parameters of the health decision for one goal.
struct health_limits
{
    double threshold_;           ///< Evidence (log likelihood ratio) at which a target is ejected.
    double max_window_fraction_; ///< Fraction of the threshold that one short window can add.
    double evidence_penalty_;    ///< Fraction of its weight that a target loses up to ejection.
    duration first_ejection_time_; ///< How long the first ejection lasts.
    duration max_ejection_time_;   ///< Limit of the doubling for targets that flap.
    double stall_factor_;          ///< The stall limit as a multiple of the typical latency.
    /// Consecutive good responses that end an ejection; 0 for no trials. A target that fails with
    /// errors needs more of them.
    std::uint32_t required_successes_;
    /// The least amount by which a good response reduces the evidence. It can be large because a
    /// hanging target gives few good responses.
    double min_relief_;
    /// The fraction of the requests that pass the stall limit without hanging, before there are
    /// responses that show it.
    double assumed_long_fraction_;
};

/// The limits for each goal of a manifest.
health_limits limits_for(health_goal goal);

/// How often an ejected target gets a trial request, for goals with trials. Shorter than the two
/// seconds within which callers may expect a recovered target to be used again.
constexpr duration trial_period = std::chrono::milliseconds(1200);

/// How long a target that gets no requests that may be repeated stays in doubt.
constexpr duration max_doubt_time = std::chrono::milliseconds(2400);

/// Whether ejected targets get trial requests under this goal.
bool has_trials(health_goal goal);

/// Decides from its requests whether one target is healthy. Uses a one-sided sequential test
/// (CUSUM) of the hypothesis that the target fails or is slow much more often than is typical for
/// its service. The time is passed in.
class target_health
{
public:
    explicit target_health(health_goal goal);

    /// Adds an observation. True when the target was ejected by it.
    bool observe(observation observed, const service_baseline& baseline, instant now);

    /// Takes back the evidence of a request that was counted as stalled this many times and then
    /// got a good response: it was long, and did not hang. True when this ended an ejection that
    /// only stalled requests had caused.
    bool refute_stalls(std::uint32_t stalls, const service_baseline& baseline);

    /// Advances the time: ends an ejection or raises the weight after one. True when an ejection
    /// has ended.
    bool advance(instant now);

    /// Classifies a finished request by its result and its time in the slot.
    static observation classify(double latency_ms, bool server_error,
                                const service_baseline& baseline);

    /// Time in a slot after which a request without a response counts as stalled.
    duration stall_limit(const service_baseline& baseline) const;

    /// `failing_weight` or `stalled_weight` while ejected, by the cause; small after an ejection, 1
    /// without any evidence against the target.
    double weight() const;
    bool ejected() const;

    /// True from the end of an ejection until good responses have shown that the target has
    /// recovered. One request at a time is enough for that. Only for goals with trials.
    bool on_probation() const;

    /// Whether a request that may run only once may be sent to the target now. False in the time of
    /// doubt: after an error, and after the end of an ejection, until requests that may be repeated
    /// have got good responses. Errors often come in a row, and a request that may run only once
    /// pays most for one more. Without requests that may be repeated the doubt ends by time.
    bool admits_unrepeatable(instant now) const;

    /// Whether a request may be sent to the ejected target as a trial now. One is admitted in each
    /// trial period, however many are offered. Targets that hang for some seconds and recover are
    /// used again sooner this way; until then their capacity is missing.
    bool admit_trial(instant now);

    /// Records the end of a trial. True when it ended the ejection.
    bool end_trial(bool good);

    /// The evidence and the observations behind it, as text for operators.
    std::string describe_evidence() const;

    void set_goal(health_goal goal);

    /// Resets the state after a restart of the target. Its weight starts low, as it is cold.
    void restart(instant now);

private:
    explicit target_health(const health_limits& limits);
    double evidence_of(observation observed, const service_baseline& baseline) const;
    /// Adds evidence that a short pause could cause as well, up to the limit of one window.
    void add_pause_evidence(double gain, instant now);
    void count_observation(observation observed);
    /// Estimates which fraction of the requests is long without hanging.
    double long_fraction() const;
    void count_response(bool was_long);
    void clear_counts();
    void update_doubt(observation observed, instant now);
    /// Good responses in a row that show that an ejected target has recovered.
    std::uint32_t successes_to_return() const;
    bool eject(instant now);

    health_limits limits_;
    double evidence_ = 0.0;
    instant window_begin_;
    double window_gain_ = 0.0; ///< Evidence added in the current window.
    bool ejected_ = false;
    bool returning_ = false;           ///< The weight is rising after an ejection or a restart.
    std::uint32_t probation_left_ = 0; ///< Good responses still needed to end the probation.
    bool in_doubt_ = false;
    instant doubted_at_;              ///< Start of the doubt, or the latest error in it.
    bool ejected_for_errors_ = false; ///< Errors were part of the evidence at the ejection.
    /// Good responses, and those whose requests had been counted as stalled; recent ones weigh
    /// most.
    double good_responses_ = 0.0;
    double long_responses_ = 0.0;
    double ramp_ = 1.0; ///< Factor of the weight while it is rising.
    instant ejected_at_;
    instant last_trial_at_;
    bool trial_running_ = false;
    std::uint32_t trial_successes_ = 0; ///< Consecutive good trials while ejected.
    instant ramped_at_;
    duration ejection_time_{};
    /// Observations by kind since the evidence was last zero.
    std::uint32_t slow_ = 0;
    std::uint32_t errors_ = 0;
    std::uint32_t refused_ = 0;
    std::uint32_t lost_ = 0;
    std::uint32_t stalled_ = 0;
    std::uint32_t unreachable_ = 0;
    std::uint32_t good_ = 0;
};

} // namespace bamboohoist

#endif
