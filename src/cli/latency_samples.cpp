#include "cli/latency_samples.hpp"

#include <algorithm>
#include <cmath>

namespace bamboohoist {

void latency_samples::add(double latency_ms)
{
    samples_.push_back(latency_ms);
    sorted_ = false;
}

void latency_samples::merge(const latency_samples& other)
{
    samples_.insert(samples_.end(), other.samples_.begin(), other.samples_.end());
    sorted_ = false;
}

double latency_samples::percentile(double fraction) const
{
    if (samples_.empty())
    {
        return 0.0;
    }
    if (!sorted_)
    {
        std::ranges::sort(samples_);
        sorted_ = true;
    }
    const double rank = std::ceil(fraction * static_cast<double>(samples_.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return samples_[std::min(index, samples_.size() - 1)];
}

std::size_t latency_samples::count() const
{
    return samples_.size();
}

} // namespace bamboohoist
