#ifndef BAMBOOHOIST_POLICY_TARGET_CHOICE_HPP
#define BAMBOOHOIST_POLICY_TARGET_CHOICE_HPP

#include "core/clock.hpp"
#include "core/random_source.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bamboohoist {

/// How far a target is from the node that chooses.
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
    bool usable_ = true;  ///< False when it is leaving, was tried or cannot be reached.
    double weight_ = 1.0; ///< Health verdict; 0 is ejected.
    std::uint32_t slots_ = 1;
    double load_ = 0.0;       ///< Requests in hand and queued, by the guard's last report.
    double latency_ms_ = 1.0; ///< Smoothed time of an attempt.
    bool load_fresh_ = true;  ///< The load was reported lately.
    bool trial_due_ = false;  ///< This node has not tried it for a trial period.
};

/// The limits of one choice.
struct choice_limits
{
    double floor_ = 0.5; ///< Share of the slots of all targets that stays in use.
    bool other_region_allowed_ = true;
    /// No other attempt may follow: an ejected target is taken for the floor's sake only when no
    /// other has a free slot. Requests that may run again keep the floor, and find out who is well.
    bool last_attempt_ = false;
    /// Ejected targets get single requests that find out whether they work again.
    bool trials_allowed_ = false;
};

/// What was chosen.
struct target_choice
{
    std::size_t index_ = 0;
    bool floor_applied_ = false; ///< A target stayed in use only because of the floor.
    bool last_resort_ = false;   ///< The chosen target is such a one.
    bool trial_ = false; ///< The chosen target is ejected; its guard decides whether to try.
};

/// Chooses the better of two targets drawn by weight, from the nearest distance that has room.
/// Empty when no target may be used.
std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_limits& limits, random_source& random);

/// Replaces loads that were reported long ago by the mean of the fresh ones, where that is more.
/// The load pattern that it answers: all targets fill up, and far ones that nobody has asked for
/// seconds look as empty as they were then, so that work goes far and comes back refused.
void replace_stale_loads(std::span<candidate> candidates);

/// A load that is older than this says little about now.
constexpr duration load_max_age = std::chrono::seconds(2);

/// True when a second attempt of a request may go to a target beside the first: only where a slot
/// is free. The load pattern that it answers: all targets are full, every attempt takes long, and
/// second attempts would take the slots of first ones.
bool can_hedge(const candidate& second);

/// The weight of a target by its last announced verdict and by the weight that came with its last
/// answer. The answer's is exact, but may be older than an ejection.
double effective_weight(double announced, double reported, duration report_age);

/// The weights that are in force after the floor: ill targets keep a share of the work when
/// ejecting them would leave less capacity than the floor, and when nearly all look ill the
/// verdicts are taken for a fault of the measure and ignored. True when a weight was raised.
bool apply_floor(std::span<const candidate> candidates, double floor, std::vector<double>& weights);

} // namespace bamboohoist

#endif
