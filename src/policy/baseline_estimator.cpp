#include "policy/baseline_estimator.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// Relative step of the median estimate; larger while there are few samples.
constexpr double median_step = 0.02;
constexpr double first_median_step = 0.2;
constexpr std::uint32_t first_samples = 32;
constexpr double bad_gain = 0.02;
constexpr double merge_gain = 0.1;
constexpr double least_median_ms = 0.01;

} // namespace

void baseline_estimator::add(double slot_ms, bool bad)
{
    bad_fraction_ += bad_gain * ((bad ? 1.0 : 0.0) - bad_fraction_);
    if (samples_ == 0)
    {
        median_ms_ = std::max(slot_ms, least_median_ms);
    }
    else
    {
        // Moves by a share of itself towards each sample, and so settles where half lie above.
        const double step = samples_ < first_samples ? first_median_step : median_step;
        median_ms_ *= slot_ms > median_ms_ ? 1.0 + step : 1.0 / (1.0 + step);
        median_ms_ = std::max(median_ms_, least_median_ms);
    }
    ++samples_;
}

service_baseline baseline_estimator::baseline(double expected_ms) const
{
    if (samples_ < first_samples)
    {
        return {expected_ms, bad_fraction_};
    }
    return {median_ms_, bad_fraction_};
}

void baseline_merger::add(const service_baseline& heard)
{
    merged_.bad_fraction_ += merge_gain * (heard.bad_fraction_ - merged_.bad_fraction_);
    if (heard.latency_ms_ <= 0.0)
    {
        return;
    }
    if (merged_.latency_ms_ <= 0.0)
    {
        merged_.latency_ms_ = heard.latency_ms_;
        return;
    }
    merged_.latency_ms_ += merge_gain * (heard.latency_ms_ - merged_.latency_ms_);
}

const service_baseline& baseline_merger::baseline() const
{
    return merged_;
}

} // namespace bamboohoist
