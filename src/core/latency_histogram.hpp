#ifndef BAMBOOHOIST_CORE_LATENCY_HISTOGRAM_HPP
#define BAMBOOHOIST_CORE_LATENCY_HISTOGRAM_HPP

#include "core/clock.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohoist {

/// How many times took how long, in steps of 1, 2 and 5 from a millisecond to twenty seconds. Its
/// memory is fixed, and all operations may be called from any thread.
class latency_histogram
{
public:
    void add(duration taken);

    std::uint64_t count() const;

    /// The histogram in the text exposition format, in seconds, with the given full name.
    std::string exposition(std::string_view name) const;

private:
    static constexpr std::array<std::uint32_t, 14> bounds_ms{
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000};

    std::array<std::atomic<std::uint64_t>, bounds_ms.size() + 1> buckets_{}; ///< The last is open.
    std::atomic<std::uint64_t> sum_us_ = 0;
};

} // namespace bamboohoist

#endif
