#include "policy/baseline_estimator.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// Relative step of the median estimate. It is larger while there are few samples.
constexpr double median_step = 0.02;
constexpr double initial_median_step = 0.2;
constexpr std::uint32_t initial_sample_count = 32;
constexpr double bad_gain = 0.02;
constexpr double merge_gain = 0.1;
constexpr double min_median_ms = 0.01;

} // namespace

void baseline_estimator::add(double slot_ms, bool bad)
{
    bad_fraction_ += bad_gain * ((bad ? 1.0 : 0.0) - bad_fraction_);
    if (sample_count_ == 0)
    {
        median_ms_ = std::max(slot_ms, min_median_ms);
    }
    else
    {
        // Moves by a fixed ratio towards each sample, and so converges to the median.
        const double step =
            sample_count_ < initial_sample_count ? initial_median_step : median_step;
        median_ms_ *= slot_ms > median_ms_ ? 1.0 + step : 1.0 / (1.0 + step);
        median_ms_ = std::max(median_ms_, min_median_ms);
    }
    ++sample_count_;
}

service_baseline baseline_estimator::baseline(double expected_ms) const
{
    if (sample_count_ < initial_sample_count)
    {
        return {expected_ms, bad_fraction_};
    }
    return {median_ms_, bad_fraction_};
}

void baseline_merger::add(const service_baseline& received)
{
    baseline_.bad_fraction_ += merge_gain * (received.bad_fraction_ - baseline_.bad_fraction_);
    if (received.latency_ms_ <= 0.0)
    {
        return;
    }
    if (baseline_.latency_ms_ <= 0.0)
    {
        baseline_.latency_ms_ = received.latency_ms_;
        return;
    }
    baseline_.latency_ms_ += merge_gain * (received.latency_ms_ - baseline_.latency_ms_);
}

const service_baseline& baseline_merger::baseline() const
{
    return baseline_;
}

} // namespace bamboohoist
