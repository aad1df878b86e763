#include "policy/pending_fetches.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr duration ms = std::chrono::milliseconds(1);
constexpr instant start = instant(std::chrono::hours(1));

} // namespace

TEST_CASE("a fetch from the store waits for no peer")
{
    pending_fetches fetches;
    CHECK(fetches.begin_from_peer("a", start));
    CHECK(fetches.begin_from_store(start));
    CHECK_FALSE(fetches.begin_from_store(start));
    CHECK(fetches.end_from_store() == start);
    CHECK(fetches.begin_from_store(start + ms));
}

TEST_CASE("a silent peer holds up a fetch from the next one only for a moment")
{
    pending_fetches fetches;
    CHECK(fetches.begin_from_peer("a", start));
    CHECK_FALSE(fetches.begin_from_peer("b", start + 100 * ms));
    CHECK(fetches.begin_from_peer("b", start + 300 * ms));
    CHECK(fetches.end_from_peer("b", true, start + 340 * ms) == start + 300 * ms);
    CHECK_FALSE(fetches.end_from_peer("b", true, start + 340 * ms));
}

TEST_CASE("a peer that did not deliver is not asked again at once")
{
    pending_fetches fetches;
    CHECK(fetches.begin_from_peer("a", start));
    CHECK(fetches.end_from_peer("a", false, start + 1000 * ms) == start);
    CHECK_FALSE(fetches.begin_from_peer("a", start + 1001 * ms));
    CHECK(fetches.begin_from_peer("b", start + 1001 * ms));
    CHECK(fetches.begin_from_peer("a", start + 3000 * ms));
}

TEST_CASE("the number of fetches at the same time is bounded")
{
    pending_fetches fetches;
    CHECK(fetches.begin_from_peer("a", start));
    CHECK(fetches.begin_from_peer("b", start + 400 * ms));
    CHECK(fetches.begin_from_peer("c", start + 800 * ms));
    CHECK_FALSE(fetches.begin_from_peer("d", start + 1200 * ms));
    CHECK(fetches.end_from_peer("a", false, start + 1200 * ms));
    CHECK(fetches.begin_from_peer("d", start + 1201 * ms));
}
