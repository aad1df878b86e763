#include "policy/shedding.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using std::chrono::seconds;

// Guards against shedding a small body while a large one holds the memory.
TEST_CASE("the body that holds the most memory is shed first")
{
    const held_body large{2000, 2000, seconds(1)};
    const held_body small_and_slow{1000, 1, seconds(9)};
    CHECK(is_shed_before(large, small_and_slow));
    CHECK_FALSE(is_shed_before(small_and_slow, large));
}

// Guards against shedding a body that arrives quickly instead of one that stands still.
TEST_CASE("of bodies of one size the slowest is shed first")
{
    const held_body stalled{1000, 1000, seconds(9)};
    const held_body quick{1000, 600, seconds(1)};
    CHECK(is_shed_before(stalled, quick));
    CHECK_FALSE(is_shed_before(quick, stalled));
}

// Guards against cutting off the newest of callers that read nothing, which may still read.
TEST_CASE("of transfers without progress the oldest is shed first")
{
    const held_body old{1000, 0, seconds(9)};
    const held_body young{1000, 0, seconds(1)};
    CHECK(is_shed_before(old, young));
    CHECK_FALSE(is_shed_before(young, old));
}
