#ifndef BAMBOOHOIST_POLICY_BASELINE_ESTIMATOR_HPP
#define BAMBOOHOIST_POLICY_BASELINE_ESTIMATOR_HPP

#include "policy/target_health.hpp"

namespace bamboohoist {

/// Estimates the typical values of a service from the responses of all its targets: the median time
/// in a slot and the fraction of bad responses. Each ingress keeps its own estimates and sends them
/// along with its requests.
class baseline_estimator
{
public:
    /// Adds one response of any target of the service: its time in a slot, and whether it was an
    /// error or slow.
    void add(double slot_ms, bool bad);

    /// The current estimate. `expected_ms` (0 if unknown) is used as the median until there are
    /// enough responses.
    service_baseline baseline(double expected_ms = 0.0) const;

private:
    double median_ms_ = 0.0;
    double bad_fraction_ = 0.0;
    std::uint32_t sample_count_ = 0;
};

/// Combines the estimates received from several ingresses by exponential smoothing.
class baseline_merger
{
public:
    void add(const service_baseline& received);
    const service_baseline& baseline() const;

private:
    service_baseline baseline_;
};

} // namespace bamboohoist

#endif
