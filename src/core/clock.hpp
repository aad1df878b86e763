#ifndef BAMBOOHOIST_CORE_CLOCK_HPP
#define BAMBOOHOIST_CORE_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace bamboohoist {

using duration = std::chrono::nanoseconds;

/// A point in monotonic time. Only differences between instants are meaningful.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of monotonic and wall-clock time. Code that depends on time takes one by reference, so
/// that tests can set the time.
class clock_source
{
public:
    virtual ~clock_source() = default;

    /// Monotonic time.
    virtual instant now() const = 0;

    /// Milliseconds since the Unix epoch. May jump, so it is only for timestamps that people read.
    virtual std::int64_t wall_ms() const = 0;
};

/// The clocks of the operating system.
class system_clock : public clock_source
{
public:
    instant now() const override;
    std::int64_t wall_ms() const override;
};

/// Converts a duration to fractional milliseconds.
double to_ms(duration value);

/// Converts fractional milliseconds to a duration.
duration from_ms(double value);

} // namespace bamboohoist

#endif
