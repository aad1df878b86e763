#ifndef BAMBOOHOIST_POLICY_HEALTH_WEIGHT_HPP
#define BAMBOOHOIST_POLICY_HEALTH_WEIGHT_HPP

namespace bamboohoist {

/// The announced weight of a target that was ejected because it fails with errors.
constexpr double failing_weight = 0.0;

/// The announced weight of a target that was ejected because it hangs or is slow, which overload
/// may cause as well.
constexpr double stalled_weight = 0.01;

/// Weights are announced in percent.
constexpr double weight_percent = 100.0;

/// Whether a target with this weight is ejected. Targets that are not have at least 0.05.
constexpr bool is_ejected_weight(double weight)
{
    return weight < 0.02;
}

} // namespace bamboohoist

#endif
