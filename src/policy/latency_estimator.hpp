#ifndef BAMBOOHOIST_POLICY_LATENCY_ESTIMATOR_HPP
#define BAMBOOHOIST_POLICY_LATENCY_ESTIMATOR_HPP

#include "core/clock.hpp"

namespace bamboohoist {

/// Estimates the mean latency of a service and its mean deviation, as RFC 6298 does for round
/// trips.
class latency_estimator
{
public:
    void add(double latency_ms);

    /// How long to wait for an attempt before sending a second one to another target. With a goal
    /// for the entire request (0 for none), the second attempt should still be able to meet it.
    duration hedge_delay(duration goal) const;

private:
    bool measured_ = false;
    double mean_ms_ = 0.0;
    double deviation_ms_ = 0.0;
};

} // namespace bamboohoist

#endif
