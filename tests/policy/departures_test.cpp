#include "policy/departures.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr instant acknowledged{std::chrono::hours(1)};
constexpr std::int64_t acknowledged_ms = 10'000'000;
constexpr std::int64_t minute_ms = 60'000;
constexpr duration beat_period = std::chrono::milliseconds(1500);

local_target beat(std::int64_t started_ms, std::uint64_t sequence)
{
    local_target target;
    target.instance_ = "i-1";
    target.started_ms_ = started_ms;
    target.sequence_ = sequence;
    return target;
}

/// The end of i-1 was acknowledged without its start.
departures make_unknown_end(std::int64_t known_start_ms = 0)
{
    departures left;
    left.add({"i-1", known_start_ms, 0, true, acknowledged_ms}, acknowledged);
    return left;
}

/// Announces a start every 1.5 s from `from` on; the number of announcements until it is not ruled
/// out any more, 0 when that takes more than `limit`.
std::size_t announcements_until_used(departures& left, std::int64_t started_ms, instant from,
                                     std::size_t limit)
{
    for (std::size_t i = 1; i <= limit; ++i)
    {
        if (!left.rules_out(beat(started_ms, i), from + beat_period * (i - 1)))
        {
            return i;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("an end without a start rules out all starts before it, however late they are heard")
{
    departures left = make_unknown_end();
    CHECK(left.rules_out(beat(acknowledged_ms - minute_ms, 40), acknowledged + beat_period));
    CHECK(left.rules_out(beat(acknowledged_ms - minute_ms, 41), acknowledged + beat_period * 4));
    CHECK_FALSE(left.rules_out(beat(acknowledged_ms + minute_ms, 1), acknowledged + beat_period));
    local_target other = beat(acknowledged_ms - minute_ms, 1);
    other.instance_ = "i-2";
    CHECK_FALSE(left.rules_out(other, acknowledged));
}

// Guards against a wall clock that has jumped by two seconds, forward or back, before the end was
// announced.
TEST_CASE("the clocks of a target and its node may differ by some seconds")
{
    // The node's clock is behind: the start that has ended seems to be later than its end.
    departures left = make_unknown_end();
    CHECK(left.rules_out(beat(acknowledged_ms + 2000, 7), acknowledged + beat_period));
    CHECK(left.rules_out(beat(acknowledged_ms + 2000, 6), acknowledged + beat_period * 2));
    // The node's clock is ahead: a new start seems to be earlier than the end.
    left = make_unknown_end();
    CHECK(announcements_until_used(left, acknowledged_ms - 2000, acknowledged + beat_period, 9) ==
          3);
    // It is far ahead.
    left = make_unknown_end();
    CHECK(announcements_until_used(left, acknowledged_ms - 60 * minute_ms,
                                   acknowledged + beat_period, 20) == 9);
}

TEST_CASE("late announcements of the start that has ended do not hold up a new one")
{
    departures left = make_unknown_end();
    const std::int64_t former_ms = acknowledged_ms - minute_ms;
    const std::int64_t present_ms = acknowledged_ms + 1000;
    for (std::uint64_t i = 1; i <= 2; ++i)
    {
        const instant now = acknowledged + beat_period * i;
        CHECK(left.rules_out(beat(present_ms, i), now));
        CHECK(left.rules_out(beat(former_ms, 40 + i), now));
    }
    CHECK_FALSE(left.rules_out(beat(present_ms, 3), acknowledged + beat_period * 3));
    // What is found out once stays so.
    CHECK_FALSE(left.rules_out(beat(present_ms, 2), acknowledged + beat_period * 3));
    CHECK(left.rules_out(beat(former_ms, 50), acknowledged + beat_period * 20));
}

TEST_CASE("repeated announcements prove nothing, nor do several at one moment")
{
    departures left = make_unknown_end();
    for (std::uint64_t i = 1; i <= 6; ++i)
    {
        CHECK(left.rules_out(beat(acknowledged_ms, 3), acknowledged + beat_period * i));
        CHECK(left.rules_out(beat(acknowledged_ms + 1, i), acknowledged + beat_period * 7));
    }
}

TEST_CASE("a start that was heard of before its end stays gone, whatever it announces")
{
    departures left = make_unknown_end(acknowledged_ms - minute_ms);
    CHECK(announcements_until_used(left, acknowledged_ms - minute_ms, acknowledged, 100) == 0);
    CHECK(announcements_until_used(left, acknowledged_ms, acknowledged, 9) == 3);
}

TEST_CASE("a repeated end is the same one, and a later one is not")
{
    const instant later = acknowledged + beat_period;
    departures left = make_unknown_end();
    const auto same = left.find_same_end("i-1", 0, later);
    REQUIRE(same);
    CHECK(same->latest_start_ms_ == acknowledged_ms);
    CHECK_FALSE(left.find_same_end("i-2", 0, later));
    // Another start was heard of meanwhile, and may be the one that has ended now.
    CHECK(left.rules_out(beat(acknowledged_ms + 500, 1), later));
    CHECK(left.latest_unproven_start("i-1") == acknowledged_ms + 500);
    CHECK_FALSE(left.find_same_end("i-1", acknowledged_ms + 500, later));
    // The same with one that was used.
    left = make_unknown_end();
    CHECK_FALSE(left.rules_out(beat(acknowledged_ms + minute_ms, 1), later));
    CHECK_FALSE(left.find_same_end("i-1", 0, later));
    // One that began while the node's process was down may not have been heard of yet.
    left = departures();
    left.restore({"i-1", acknowledged_ms - minute_ms, 9, true}, acknowledged);
    CHECK_FALSE(left.find_same_end("i-1", 0, later));
    CHECK(left.find_same_end("i-1", 0, acknowledged + beat_period * 3));
}

TEST_CASE("departures are forgotten after five minutes")
{
    departures left = make_unknown_end();
    left.forget_old(acknowledged + std::chrono::minutes(4));
    CHECK(left.rules_out(beat(acknowledged_ms, 1), acknowledged));
    left.forget_old(acknowledged + std::chrono::minutes(6));
    CHECK_FALSE(left.rules_out(beat(acknowledged_ms, 1), acknowledged));
}
