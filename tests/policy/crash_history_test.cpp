#include "policy/crash_history.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

TEST_CASE("a request in hand at two crashes is quarantined and one at a single crash is isolated")
{
    manual_clock clock;
    crash_history ledger(100, std::chrono::minutes(10));
    const std::vector<std::uint64_t> first{1, 2, 3};
    CHECK(ledger.record_crash("t1#a", first, clock.now()).empty());
    CHECK(ledger.record_crash("t1#a", first, clock.now()).empty()); // Heard again.
    CHECK(ledger.evaluate(1, clock.now()) == crash_decision::isolate);
    const std::vector<std::uint64_t> second{1, 9};
    CHECK(ledger.record_crash("t2#b", second, clock.now()) == std::vector<std::uint64_t>{1});
    CHECK(ledger.evaluate(1, clock.now()) == crash_decision::refuse);
    CHECK(ledger.evaluate(9, clock.now()) == crash_decision::isolate);
    CHECK(ledger.evaluate(4, clock.now()) == crash_decision::run);
}

TEST_CASE("suspicion ends by a good run, by time, and quarantine by an operator")
{
    manual_clock clock;
    crash_history ledger(100, std::chrono::minutes(10));
    const std::vector<std::uint64_t> both{1, 2};
    ledger.record_crash("t1#a", both, clock.now());
    ledger.clear(2);
    CHECK(ledger.evaluate(2, clock.now()) == crash_decision::run);
    ledger.record_crash("t2#b", std::vector<std::uint64_t>{1}, clock.now());
    ledger.clear(1); // A quarantined request is not cleared by a run.
    CHECK(ledger.evaluate(1, clock.now()) == crash_decision::refuse);
    ledger.release(1);
    CHECK(ledger.evaluate(1, clock.now()) == crash_decision::run);
    ledger.record_crash("t3#c", both, clock.now());
    clock.advance(std::chrono::minutes(11));
    CHECK(ledger.evaluate(1, clock.now()) == crash_decision::run);
}

TEST_CASE("the ledger stays within its capacity")
{
    manual_clock clock;
    crash_history ledger(64, std::chrono::minutes(10));
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        ledger.record_crash("t#" + std::to_string(i), std::vector<std::uint64_t>{i}, clock.now());
        clock.advance(std::chrono::milliseconds(1));
    }
    CHECK(ledger.size() <= 64);
    CHECK(ledger.evaluate(999, clock.now()) == crash_decision::isolate);
}
