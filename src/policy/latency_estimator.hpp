#ifndef BAMBOOHOIST_POLICY_LATENCY_ESTIMATOR_HPP
#define BAMBOOHOIST_POLICY_LATENCY_ESTIMATOR_HPP

#include "core/clock.hpp"

namespace bamboohoist {

/// Smoothed latency of a service and its deviation, as RFC 6298 estimates round trips.
class latency_estimator
{
public:
    void add(double latency_ms);

    /// How long an attempt may take before another target is the better bet. With a goal for the
    /// whole request (0 for none) the other target should still be able to reach it.
    duration hedge_delay(duration goal) const;

private:
    bool measured_ = false;
    double mean_ms_ = 0.0;
    double deviation_ms_ = 0.0;
};

} // namespace bamboohoist

#endif
