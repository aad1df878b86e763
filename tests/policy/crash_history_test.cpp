#include "policy/crash_history.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

TEST_CASE("a request in flight at two crashes is quarantined, at a single crash it is isolated")
{
    manual_clock clock;
    crash_history history(100, std::chrono::minutes(10));
    const std::vector<std::uint64_t> first{1, 2, 3};
    CHECK(history.record_crash("t1#a", first, clock.now()).empty());
    CHECK(history.record_crash("t1#a", first, clock.now()).empty()); // Reported again.
    CHECK(history.evaluate(1, clock.now()) == crash_decision::isolate);
    const std::vector<std::uint64_t> second{1, 9};
    CHECK(history.record_crash("t2#b", second, clock.now()) == std::vector<std::uint64_t>{1});
    CHECK(history.evaluate(1, clock.now()) == crash_decision::refuse);
    CHECK(history.evaluate(9, clock.now()) == crash_decision::isolate);
    CHECK(history.evaluate(4, clock.now()) == crash_decision::run);
}

TEST_CASE("suspicion ends with a good run or after some time, quarantine by an operator")
{
    manual_clock clock;
    crash_history history(100, std::chrono::minutes(10));
    const std::vector<std::uint64_t> both{1, 2};
    history.record_crash("t1#a", both, clock.now());
    history.clear_suspect(2);
    CHECK(history.evaluate(2, clock.now()) == crash_decision::run);
    history.record_crash("t2#b", std::vector<std::uint64_t>{1}, clock.now());
    history.clear_suspect(1); // Has no effect on a quarantined request.
    CHECK(history.evaluate(1, clock.now()) == crash_decision::refuse);
    history.release(1);
    CHECK(history.evaluate(1, clock.now()) == crash_decision::run);
    history.record_crash("t3#c", both, clock.now());
    clock.advance(std::chrono::minutes(11));
    CHECK(history.evaluate(1, clock.now()) == crash_decision::run);
}

TEST_CASE("the history stays within its capacity")
{
    manual_clock clock;
    crash_history history(64, std::chrono::minutes(10));
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        history.record_crash("t#" + std::to_string(i), std::vector<std::uint64_t>{i}, clock.now());
        clock.advance(std::chrono::milliseconds(1));
    }
    CHECK(history.size() <= 64);
    CHECK(history.evaluate(999, clock.now()) == crash_decision::isolate);
}
