#ifndef BAMBOOHOIST_TESTING_MANUAL_CLOCK_HPP
#define BAMBOOHOIST_TESTING_MANUAL_CLOCK_HPP

#include "core/clock.hpp"

namespace bamboohoist::testing {

/// A clock that advances only on request.
class manual_clock : public clock_source
{
public:
    instant now() const override
    {
        return now_;
    }

    std::int64_t wall_ms() const override
    {
        return wall_ms_;
    }

    void advance(duration time)
    {
        now_ += time;
        wall_ms_ += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    /// Sets only the wall clock, as an operator or a time server may do.
    void set_wall_ms(std::int64_t wall_ms)
    {
        wall_ms_ = wall_ms;
    }

private:
    instant now_{std::chrono::hours(1)};
    std::int64_t wall_ms_ = 1'000'000;
};

} // namespace bamboohoist::testing

#endif
