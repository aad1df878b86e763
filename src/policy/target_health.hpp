#ifndef BAMBOOHOIST_POLICY_TARGET_HEALTH_HPP
#define BAMBOOHOIST_POLICY_TARGET_HEALTH_HPP

#include "core/clock.hpp"
#include "policy/manifest.hpp"

#include <cstdint>
#include <string>

namespace bamboohoist {

/// What is usual for a service, over all of its targets.
struct service_baseline
{
    double latency_ms_ = 0.0;   ///< Median time in a slot; 0 while unknown.
    double bad_fraction_ = 0.0; ///< Share of requests that end badly or slowly.
};

/// What one request showed about its target.
enum class observation
{
    good,
    slow,             ///< Answered, but far beyond the usual time.
    error,            ///< Answered with a server error.
    lost,             ///< The connection failed.
    stalled,          ///< Still without an answer far beyond the usual time.
    still_stalled,    ///< The same request as before, another such time later.
    unreachable,      ///< No connection at all.
    dependency_error, ///< Answered with an error that comes from a call of its own.
};

/// The trade of a service's health decision.
struct health_limits
{
    double threshold_;        ///< Evidence (log likelihood ratio) at which a target is ejected.
    double share_per_window_; ///< Share of the threshold that one short window can add.
    double doubt_cost_;       ///< Share of the work that a target just short of ejection loses.
    duration first_hold_;     ///< How long the first ejection lasts.
    duration longest_hold_;   ///< Bound of the doubling for targets that flap.
    double stall_factor_;     ///< A request without an answer after this many usual times stalls.
    /// Good answers, one after the other, that bring an ejected target back; 0 for no trials.
    std::uint32_t trial_answers_;
    /// What a good answer takes from the evidence at least: a target that hangs answers few.
    double least_relief_;
};

/// The limits for each goal of a manifest.
health_limits limits_for(health_goal goal);

/// An ejected target of a goal with trials gets one request in this time. Sooner than the two
/// seconds in which callers may expect a sound target to be used again.
constexpr duration trial_period = std::chrono::milliseconds(1200);

/// Whether a goal knows trials.
bool has_trials(health_goal goal);

/// Judges one target by real work: a one-sided sequential test (CUSUM) of "it fails or dawdles
/// far more often than the service's targets usually do". Knows no clock but the one passed in.
class target_health
{
public:
    explicit target_health(health_goal goal);

    /// Takes one observation in. True when the verdict (ejected or not) has changed.
    bool observe(observation seen, const service_baseline& baseline, instant now);

    /// Lets time pass: an ejection ends, a ramp goes on. True when the verdict has changed.
    bool advance(instant now);

    /// Classifies a finished request by its time in the slot.
    static observation classify(double latency_ms, bool server_error,
                                const service_baseline& baseline);

    /// Time in a slot after which a request without an answer counts as stalled.
    duration stall_limit(const service_baseline& baseline) const;

    /// 0 while ejected, small after the return, 1 when there is no evidence against it.
    double weight() const;
    bool ejected() const;

    /// True after an ejection until a first request has shown that it works again: one request at
    /// a time is enough to find out. Only where hanging requests cost most.
    bool on_probation() const;

    /// Whether a request may find out now that an ejected target works again: one in each trial
    /// period, however many are offered. The load pattern that it answers: targets hang for some
    /// seconds and are well again, and every second that a well one stays out is missing capacity.
    bool admit_trial(instant now);

    /// A request of a trial has ended. True when the target is back in use.
    bool end_trial(bool good);

    /// The figures behind the verdict, for people.
    std::string describe_evidence() const;

    void set_goal(health_goal goal);

    /// The target has started anew: nothing is held against it, but it is cold.
    void restart(instant now);

private:
    explicit target_health(const health_limits& limits);
    double evidence_of(observation seen, const service_baseline& baseline) const;
    /// Adds what a short pause would show as well, within the bound of one window.
    void add_pause_evidence(double gain, instant now);
    void count(observation seen);
    bool eject(instant now);

    health_limits limits_;
    double evidence_ = 0.0;
    instant window_begin_;
    double window_gain_ = 0.0; ///< Evidence that the present window has added.
    bool ejected_ = false;
    bool returning_ = false;
    std::uint32_t trial_left_ = 0; ///< Good answers that the trial still needs.
    double ramp_ = 1.0;
    instant ejected_at_;
    instant tried_at_;
    bool trying_ = false;          ///< A trial is out.
    std::uint32_t trial_good_ = 0; ///< Good answers in a row while ejected.
    instant ramped_at_;
    duration hold_{};
    /// Bad observations by kind since the evidence was last zero.
    std::uint32_t slow_ = 0;
    std::uint32_t errors_ = 0;
    std::uint32_t lost_ = 0;
    std::uint32_t stalled_ = 0;
    std::uint32_t refused_ = 0;
    std::uint32_t good_ = 0;
};

} // namespace bamboohoist

#endif
