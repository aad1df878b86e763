/// Guards against nodes that take over the parts of others that leave together with them.

#include "policy/share_count.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

TEST_CASE("the number of parts grows at once and shrinks late")
{
    manual_clock clock;
    share_count parts;
    CHECK(parts.update(3, clock.now()) == 3);
    CHECK(parts.update(20, clock.now()) == 20);
    clock.advance(std::chrono::seconds(6));
    CHECK(parts.update(1, clock.now()) == 20);
    clock.advance(std::chrono::seconds(25));
    CHECK(parts.update(18, clock.now()) == 18);
}
