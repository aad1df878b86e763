#include "core/event_log.hpp"

#include "core/error.hpp"
#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

TEST_CASE("hybrid clock increases even when the wall clock is set back")
{
    manual_clock clock;
    hybrid_logical_clock hybrid(clock);
    const hlc_timestamp first = hybrid.tick();
    clock.set_wall_ms(5);
    const hlc_timestamp second = hybrid.tick();
    CHECK(second > first);
    hybrid.observe(hlc_timestamp{2'000'000'000, 7});
    CHECK(hybrid.tick() > hlc_timestamp{2'000'000'000, 7});
}

TEST_CASE("event log keeps the latest events and selects them by time and subject")
{
    manual_clock clock;
    hybrid_logical_clock hybrid(clock);
    event_log log(hybrid, "n1", 3);
    hlc_timestamp third_timestamp;
    for (int i = 0; i < 5; ++i)
    {
        event new_event;
        new_event.subject_ = "target-" + std::to_string(i);
        const event& recorded = log.record(new_event);
        third_timestamp = i == 2 ? recorded.at_ : third_timestamp;
    }
    CHECK(log.select({}, "").size() == 3);
    CHECK(log.select(third_timestamp, "").size() == 2);
    REQUIRE(log.select({}, "target-4").size() == 1);
    CHECK(log.select({}, "target-4").front().node_ == "n1");
}

TEST_CASE("error table has one row for each error kind, in order and with a unique name")
{
    const auto rows = error_table();
    CHECK(rows.size() == static_cast<std::size_t>(error_kind::internal) + 1);
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        CHECK(static_cast<std::size_t>(rows[i].kind_) == i);
        CHECK(parse_error_kind(rows[i].name_) == rows[i].kind_);
    }
}
