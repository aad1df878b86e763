#include "policy/path_health.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr instant start{std::chrono::seconds(10)};
constexpr duration base_pause = std::chrono::milliseconds(200);

} // namespace

TEST_CASE("a target that is silent on a path that speaks never pauses the path")
{
    path_health path;
    std::uint64_t heard = 500;
    for (int attempt = 0; attempt < 20; ++attempt)
    {
        path.record_timeout(heard, start);
        heard += 17; // The answer to a ping.
        CHECK(path.is_usable(start));
    }
}

TEST_CASE("a silent path is paused at the second attempt, and longer at each further one")
{
    path_health path;
    CHECK(path.record_timeout(500, start));
    CHECK(path.is_usable(start));
    CHECK(path.record_timeout(500, start));
    CHECK_FALSE(path.is_usable(start + base_pause));
    CHECK(path.is_usable(start + base_pause * 2));
    CHECK(path.record_timeout(500, start));
    CHECK_FALSE(path.is_usable(start + base_pause * 3));
}

TEST_CASE("an answer ends the count of failures")
{
    path_health path;
    path.record_failure(start);
    path.record_failure(start);
    path.record_success();
    path.record_failure(start + base_pause * 10);
    CHECK(path.is_usable(start + base_pause * 11));
}
