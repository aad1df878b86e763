#include "policy/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace bamboohoist {

namespace {

constexpr double mean_gain = 0.125;
constexpr double deviation_gain = 0.25;
constexpr double deviations = 8.0;
constexpr double least_limit_ms = 100.0;
constexpr double unmeasured_limit_ms = 1000.0;
/// What a first attempt may take of the goal; the rest is for the second one.
constexpr double goal_share = 0.55;
/// A whole service that is slow gives no reason for more attempts.
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
        return std::max(std::chrono::duration_cast<duration>(goal * goal_share),
                        from_ms(slow_factor * mean_ms_));
    }
    if (!measured_)
    {
        return from_ms(unmeasured_limit_ms);
    }
    return from_ms(std::max(least_limit_ms, 2.0 * mean_ms_ + deviations * deviation_ms_));
}

} // namespace bamboohoist
