/// Guards against a started node that takes itself for one of few, or for the only one, before it
/// has heard who else is in the fleet.

#include "policy/fleet_survey.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST_CASE("a node that has heard of nobody doesn't know the fleet, however long it runs")
{
    manual_clock clock;
    fleet_survey survey;
    survey.on_peers(0, clock.now());
    clock.advance(seconds(60));
    CHECK_FALSE(survey.is_complete(clock.now()));
    // The store that all nodes have waited for is back: it lists them before they know each other.
    survey.on_listed(19, false, clock.now());
    CHECK_FALSE(survey.is_complete(clock.now()));
}

TEST_CASE("the table of a peer that knows the fleet is complete, and that of another one is not")
{
    manual_clock clock;
    fleet_survey survey;
    survey.on_listed(5, false, clock.now());
    survey.on_table(false);
    survey.on_peers(2, clock.now());
    CHECK_FALSE(survey.is_complete(clock.now()));
    survey.on_table(true);
    CHECK(survey.is_complete(clock.now()));
}

TEST_CASE("after a common start the fleet is known when no further node has appeared for a while")
{
    manual_clock clock;
    fleet_survey survey;
    survey.on_listed(19, false, clock.now());
    for (std::size_t peers = 1; peers < 4; ++peers)
    {
        survey.on_peers(peers, clock.now());
        clock.advance(milliseconds(500));
        CHECK_FALSE(survey.is_complete(clock.now()));
    }
    clock.advance(milliseconds(200));
    CHECK(survey.is_complete(clock.now()));
}

TEST_CASE("nodes that go on joining do not postpone the end for ever")
{
    manual_clock clock;
    fleet_survey survey;
    for (std::size_t peers = 1; peers <= 12; ++peers)
    {
        survey.on_peers(peers, clock.now());
        clock.advance(milliseconds(500));
    }
    CHECK(survey.is_complete(clock.now()));
}

// Also guards against an empty list: all entries end with their leases, which may end together
// while the store is down, and the nodes that write them again are not equally fast.
TEST_CASE("a node alone knows it when nobody has replied for a while, whatever the store lists")
{
    manual_clock clock;
    fleet_survey survey;
    SUBCASE("no other")
    {
        survey.on_listed(0, false, clock.now());
    }
    SUBCASE("others that do not reply")
    {
        survey.on_listed(19, false, clock.now());
    }
    clock.advance(milliseconds(1100));
    CHECK_FALSE(survey.is_complete(clock.now()));
    SUBCASE("they appear")
    {
        survey.on_listed(19, true, clock.now());
        survey.on_peers(1, clock.now());
        clock.advance(milliseconds(500));
        CHECK_FALSE(survey.is_complete(clock.now()));
    }
    clock.advance(seconds(2));
    CHECK(survey.is_complete(clock.now()));
}

// Guards against taking a list for that of the whole fleet when its nodes have left in order, and
// only those that have started again are on it.
TEST_CASE("only a list with the node's own former entry says how many nodes share")
{
    manual_clock clock;
    fleet_survey survey;
    survey.on_listed(19, false, clock.now());
    survey.on_listed(19, true, clock.now());
    CHECK(survey.provisional_parts() == 0);
    fleet_survey killed;
    killed.on_listed(16, true, clock.now());
    CHECK(killed.provisional_parts() == 17);
    killed.on_listed(19, false, clock.now());
    CHECK(killed.provisional_parts() == 20);
    killed.on_peers(24, clock.now());
    CHECK(killed.provisional_parts() == 25);
}
