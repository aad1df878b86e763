#ifndef BAMBOOHOIST_CORE_LATENCY_HISTOGRAM_HPP
#define BAMBOOHOIST_CORE_LATENCY_HISTOGRAM_HPP

#include "core/clock.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohoist {

/// A histogram of durations with bucket bounds in steps of 1, 2 and 5 from 1 ms to 20 s. Its memory
/// size is fixed. All functions may be called from any thread.
class latency_histogram
{
public:
    /// Records a duration. A negative one counts as zero.
    void add(duration taken);

    /// Returns the number of recorded durations.
    std::uint64_t count() const;

    /// Returns the histogram in the Prometheus text format, in seconds, under the given full name.
    std::string exposition(std::string_view name) const;

private:
    static constexpr std::array<std::uint32_t, 14> bounds_ms{
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000};

    std::array<std::atomic<std::uint64_t>, bounds_ms.size() + 1>
        buckets_{}; ///< The last has no upper bound.
    std::atomic<std::uint64_t> sum_us_ = 0;
};

} // namespace bamboohoist

#endif
