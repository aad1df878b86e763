#include "policy/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace bamboohoist {

namespace {

constexpr double mean_gain = 0.125;
constexpr double deviation_gain = 0.25;
constexpr double deviation_factor = 8.0;
constexpr double min_delay_ms = 100.0;
constexpr double default_delay_ms = 1000.0;
/// Part of the goal that a first attempt may take; the rest is left for the second one.
constexpr double goal_fraction = 0.55;
/// The delay is at least this multiple of the mean: when all targets of a service are slow, second
/// attempts do not help.
constexpr double slow_factor = 1.8;

} // namespace

void latency_estimator::add(double latency_ms)
{
    if (!measured_)
    {
        measured_ = true;
        mean_ms_ = latency_ms;
        deviation_ms_ = latency_ms / 2.0;
        return;
    }
    deviation_ms_ += deviation_gain * (std::abs(latency_ms - mean_ms_) - deviation_ms_);
    mean_ms_ += mean_gain * (latency_ms - mean_ms_);
}

duration latency_estimator::hedge_delay(duration goal) const
{
    if (goal > duration::zero())
    {
        return std::max(std::chrono::duration_cast<duration>(goal * goal_fraction),
                        from_ms(slow_factor * mean_ms_));
    }
    if (!measured_)
    {
        return from_ms(default_delay_ms);
    }
    return from_ms(std::max(min_delay_ms, 2.0 * mean_ms_ + deviation_factor * deviation_ms_));
}

} // namespace bamboohoist
