#ifndef BAMBOOHOIST_POLICY_BASELINE_ESTIMATOR_HPP
#define BAMBOOHOIST_POLICY_BASELINE_ESTIMATOR_HPP

#include "policy/target_health.hpp"

namespace bamboohoist {

/// Estimates what is usual for a service from the answers of all its targets: the median time in
/// a slot and the share of bad answers. Each ingress keeps one and passes it on with its work.
class baseline_estimator
{
public:
    /// One answer of any target of the service.
    void add(double slot_ms, bool bad);

    /// `expected_ms` stands for the median as long as there are too few answers; 0 for unknown.
    service_baseline baseline(double expected_ms = 0.0) const;

private:
    double median_ms_ = 0.0;
    double bad_fraction_ = 0.0;
    std::uint32_t samples_ = 0;
};

/// Joins the estimates that several ingresses pass on.
class baseline_merger
{
public:
    void add(const service_baseline& heard);
    const service_baseline& baseline() const;

private:
    service_baseline merged_;
};

} // namespace bamboohoist

#endif
