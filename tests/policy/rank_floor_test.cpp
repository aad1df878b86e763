#include "policy/rank_floor.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

using std::chrono::milliseconds;

queued_request make_request(std::uint32_t route, milliseconds run_time)
{
    queued_request made;
    made.rank_ = {0, route};
    made.expected_run_time_ = run_time;
    return made;
}

} // namespace

// Long reads of a lower rank got every seventh slot and with it most of the time of their targets,
// before the short calls of requests that were running elsewhere.
TEST_CASE("a rank of long requests is owed its part of the time, not of the number of slots")
{
    rank_floor floor;
    const queued_request short_one = make_request(1, milliseconds(64));
    const queued_request long_one = make_request(2, milliseconds(640));
    const std::array queue{short_one, long_one};
    instant now{std::chrono::hours(1)};
    duration all{};
    duration of_long{};
    floor.record_demand(short_one, now);
    floor.record_demand(long_one, now);
    for (int grants = 0; grants < 2000; ++grants)
    {
        const queued_request& next = floor.owed(long_one.rank_) > 0 ? long_one : short_one;
        floor.record_grant(next, queue, now);
        now += next.expected_run_time_;
        all += next.expected_run_time_;
        of_long += next.rank_ == long_one.rank_ ? next.expected_run_time_ : duration::zero();
    }
    const double part = static_cast<double>(of_long.count()) / static_cast<double>(all.count());
    CHECK(part >= 0.125); // A quarter of the mean share of two ranks.
    CHECK(part <= 0.15);
}
