#include "policy/call_failures.hpp"

#include "fakes/manual_clock.hpp"
#include "policy/target_health.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

TEST_CASE("an error right after a failed call to another service is attributed to it, once")
{
    manual_clock clock;
    call_failures failures;
    CHECK_FALSE(failures.attribute_error("orders", clock.now()));
    failures.record("prices", clock.now());
    clock.advance(std::chrono::milliseconds(5));
    CHECK(failures.attribute_error("orders", clock.now()));
    CHECK_FALSE(failures.attribute_error("orders", clock.now()));
    failures.record("prices", clock.now());
    clock.advance(std::chrono::seconds(1));
    CHECK_FALSE(failures.attribute_error("orders", clock.now()));
}

TEST_CASE("errors of a service are not attributed to failed requests to the same service")
{
    manual_clock clock;
    call_failures failures;
    for (int i = 0; i < 100; ++i)
    {
        failures.record("orders", clock.now());
        clock.advance(std::chrono::milliseconds(1));
        CHECK_FALSE(failures.attribute_error("orders", clock.now()));
    }
}

TEST_CASE("targets are not ejected for errors caused by their failed calls")
{
    manual_clock clock;
    target_health health(health_goal::first_signs);
    for (int i = 0; i < 100; ++i)
    {
        health.observe(observation::dependency_error, {300.0, 0.02}, clock.now());
        clock.advance(std::chrono::milliseconds(50));
    }
    CHECK_FALSE(health.ejected());
    CHECK(health.weight() == 1.0);
}
