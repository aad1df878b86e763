#include "policy/path_health.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr instant start{std::chrono::seconds(10)};
constexpr duration base_pause = std::chrono::milliseconds(200);

} // namespace

TEST_CASE("a target that does not respond never pauses a path on which bytes arrive")
{
    path_health path;
    std::uint64_t received_bytes = 500;
    for (int attempt = 0; attempt < 20; ++attempt)
    {
        path.record_timeout(received_bytes, start);
        received_bytes += 17; // The reply to a ping.
        CHECK(path.is_usable(start));
    }
}

TEST_CASE("a path that brings no bytes is paused at the second timeout, then longer each time")
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

TEST_CASE("a response resets the count of consecutive failures")
{
    path_health path;
    path.record_failure(start);
    path.record_failure(start);
    path.record_success();
    path.record_failure(start + base_pause * 10);
    CHECK(path.is_usable(start + base_pause * 11));
}
