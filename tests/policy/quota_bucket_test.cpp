/// Guards against an owner that grants more than its bucket holds, leases too much ahead of need,
/// takes back credits that it did not lease, or tells all refused callers the same time.

#include "policy/quota_bucket.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr quota_limit limit{10.0, 10.0};
/// 0.1 × (10 × 5 + 10) + 20.
constexpr double tolerance = 26.0;

quota_bucket full_bucket(instant now)
{
    return {{}, owner_shape({}, limit, 1.0), 1000.0, now};
}

quota_ask ask_for(std::uint32_t waiting, std::uint32_t wanted)
{
    return {.organisation_ = "org", .waiting_ = waiting, .wanted_ = wanted};
}

} // namespace

TEST_CASE("a bucket grants burst, a part of the tolerance and then the rate")
{
    manual_clock clock;
    quota_bucket bucket = full_bucket(clock.now());
    const auto at_once = static_cast<std::uint32_t>(10.0 + burst_tolerance_part * tolerance);
    CHECK(bucket.grant(ask_for(100, 100), clock.now()).granted_ == at_once);
    clock.advance(std::chrono::seconds(1));
    const std::uint32_t later = bucket.grant(ask_for(100, 100), clock.now()).granted_;
    CHECK(later >= 10);
    CHECK(later <= 11);
}

TEST_CASE("credits leased ahead of need are bounded and free again when used or expired")
{
    manual_clock clock;
    quota_bucket bucket = full_bucket(clock.now());
    const auto most = static_cast<std::uint32_t>(lease_tolerance_part * tolerance);
    CHECK(bucket.grant(ask_for(0, 100), clock.now()).granted_ == most);
    CHECK(bucket.grant(ask_for(0, 100), clock.now()).granted_ == 0);
    quota_ask used = ask_for(0, 100);
    used.used_ = 2;
    CHECK(bucket.grant(used, clock.now()).granted_ == 2);
    clock.advance(2 * credit_validity);
    CHECK(bucket.grant(ask_for(0, 100), clock.now()).granted_ == most);
}

TEST_CASE("only leased credits can be returned")
{
    manual_clock clock;
    quota_bucket bucket = full_bucket(clock.now());
    bucket.grant(ask_for(100, 100), clock.now());
    quota_ask returning = ask_for(100, 100);
    returning.returned_ = 50;
    CHECK(bucket.grant(returning, clock.now()).granted_ == 0);
}

TEST_CASE("the retry times of refused requests are spread by the rate")
{
    manual_clock clock;
    quota_bucket bucket = full_bucket(clock.now());
    const quota_reply first = bucket.grant(ask_for(100, 100), clock.now());
    CHECK(first.verdict_ == quota_verdict::refused);
    CHECK(first.retry_after_ <= std::chrono::milliseconds(100));
    const quota_reply second = bucket.grant(ask_for(1, 1), clock.now());
    const quota_reply third = bucket.grant(ask_for(1, 1), clock.now());
    CHECK(second.retry_after_ > first.retry_after_);
    CHECK(third.retry_after_ <= std::chrono::seconds(5));
}

TEST_CASE("a lowered limit cuts the balance")
{
    manual_clock clock;
    quota_bucket bucket = full_bucket(clock.now());
    const quota_limit lowered{1.0, 1.0};
    bucket.set_shape(owner_shape({}, lowered, 1.0), clock.now());
    const double most = 1.0 + burst_tolerance_part * quota_tolerance({}, lowered);
    CHECK(bucket.grant(ask_for(100, 100), clock.now()).granted_ <= most);
}

TEST_CASE("a bucket that is full and has leased nothing is unused")
{
    manual_clock clock;
    quota_bucket bucket = full_bucket(clock.now());
    CHECK(bucket.is_unused(clock.now()));
    bucket.grant(ask_for(1, 1), clock.now());
    CHECK_FALSE(bucket.is_unused(clock.now()));
    clock.advance(std::chrono::seconds(5));
    CHECK(bucket.is_unused(clock.now()));
}
