#ifndef BAMBOOHOIST_CORE_CLOCK_HPP
#define BAMBOOHOIST_CORE_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace bamboohoist {

using duration = std::chrono::nanoseconds;

/// A point of monotonic time. Only differences have a meaning.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of monotonic and wall-clock time. Decisions take one by reference, so that tests can
/// move time by hand.
class clock_source
{
public:
    virtual ~clock_source() = default;

    /// Monotonic time.
    virtual instant now() const = 0;

    /// Milliseconds since the Unix epoch. May jump; used for stamps that people read.
    virtual std::int64_t wall_ms() const = 0;
};

/// The clocks of the operating system.
class system_clock : public clock_source
{
public:
    instant now() const override;
    std::int64_t wall_ms() const override;
};

/// The fractional number of milliseconds in a duration.
double to_ms(duration value);

/// The duration of a fractional number of milliseconds.
duration from_ms(double value);

} // namespace bamboohoist

#endif
