#ifndef BAMBOOHOIST_POLICY_TARGET_CHOICE_HPP
#define BAMBOOHOIST_POLICY_TARGET_CHOICE_HPP

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "policy/health_weight.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bamboohoist {

/// The distance of a target from the node that chooses.
enum class distance : std::uint8_t
{
    same_domain,
    same_region,
    other_region,
};

/// What an ingress knows about one target of a service when it chooses.
struct candidate
{
    distance distance_ = distance::same_domain;
    bool usable_ = true;  ///< False when it is leaving, was already tried or cannot be reached.
    double weight_ = 1.0; ///< Health weight; see `is_ejected_weight()`.
    std::uint32_t slots_ = 1;
    double load_ = 0.0;       ///< Requests running and queued, as last reported by the guard.
    double latency_ms_ = 1.0; ///< Smoothed time of an attempt.
    bool load_fresh_ = true;  ///< The load was reported recently.
    bool trial_due_ = false;  ///< This node has not sent it a trial for one trial period.
};

/// The limits of one choice.
struct choice_limits
{
    double floor_ = 0.5; ///< Fraction of the slots of all targets that stays in use.
    bool other_region_allowed_ = true;
    /// No other attempt can follow, so an ejected target is chosen only if all others are well
    /// above their capacity. Requests that can be retried show which targets have recovered.
    bool last_attempt_ = false;
    /// Ejected targets may get single requests (trials) that show whether they have recovered. They
    /// are then not kept in use by the floor.
    bool trials_allowed_ = false;
};

/// The chosen target.
struct target_choice
{
    std::size_t index_ = 0;
    bool floor_applied_ = false; ///< The floor kept some target in use.
    bool last_resort_ = false;   ///< The chosen target is ejected and in use only for the floor.
    bool trial_ = false; ///< The chosen target is ejected; its guard decides whether to admit it.
};

/// Chooses the better of two targets that are drawn at random by weight, from the nearest distance
/// with free capacity. Empty when no target may be used.
std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_limits& limits, random_source& random);

/// When an ingress may send the next trial to an ejected target. Many ingresses offer trials to a
/// guard that admits one in a trial period, so each one waits longer after a refusal.
class trial_clock
{
public:
    /// Whether a trial may be sent now. The first one is due one period after the ejection became
    /// known.
    bool is_due(instant now) const;

    void on_ejected(instant now);
    void on_sent(instant now);
    void on_refused();

    /// After a good trial the next one may follow at once.
    void on_good();

private:
    instant last_;
    std::uint32_t refusals_ = 0; ///< In a row, up to a limit.
};

/// Replaces loads that were not reported recently by the mean of the recent ones, if that is
/// higher. Otherwise, when all targets fill up, distant targets that got no requests for some
/// seconds would still seem idle and would attract requests that they then refuse.
void replace_stale_loads(std::span<candidate> candidates);

/// A reported load is considered stale after this time.
constexpr duration load_max_age = std::chrono::seconds(2);

/// True when a second attempt of a request (a hedged request) may be sent to a target while the
/// first is still running. This requires a free slot: when all targets are full and every attempt
/// takes long, second attempts would otherwise take the slots of first ones.
bool can_hedge(const candidate& second);

/// The weight of a target, from its last announced weight and the weight reported with its last
/// response. The reported weight is more exact, but an announced ejection may be newer.
double effective_weight(double announced, double reported, duration report_age);

/// Computes the weights after the floor is applied. Ejected targets get some of the requests when
/// the others alone would have less capacity than the floor. When nearly all targets are ejected,
/// the ejections are assumed to be wrong and are ignored. True when a weight was raised.
bool apply_floor(std::span<const candidate> candidates, double floor, std::vector<double>& weights);

} // namespace bamboohoist

#endif
