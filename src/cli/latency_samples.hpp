#ifndef BAMBOOHOIST_CLI_LATENCY_SAMPLES_HPP
#define BAMBOOHOIST_CLI_LATENCY_SAMPLES_HPP

#include <vector>

namespace bamboohoist {

/// All latencies of a run, in milliseconds, for exact percentiles.
class latency_samples
{
public:
    void add(double latency_ms);

    void merge(const latency_samples& other);

    /// Returns the latency that this fraction of the samples does not exceed; 0 without samples.
    double percentile(double fraction) const;

    std::size_t count() const;

private:
    mutable std::vector<double> samples_;
    mutable bool sorted_ = true;
};

} // namespace bamboohoist

#endif
