#include "policy/retry_policy.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace bamboohoist;

namespace {

constexpr instant now{std::chrono::hours(1)};

failed_attempt failure(outcome result, error_kind kind, bool idempotent)
{
    failed_attempt failed;
    failed.outcome_ = result;
    failed.error_ = kind;
    failed.idempotent_ = idempotent;
    failed.time_left_ = std::chrono::seconds(1);
    return failed;
}

} // namespace

TEST_CASE("only requests that did not run or are idempotent are retried")
{
    for (const error_response& row : error_table())
    {
        const auto unsafe = failure(outcome::unknown, row.kind_, false);
        CHECK(decide_retry(unsafe) == retry_decision::give_up);
        const auto ran = failure(outcome::ran, row.kind_, false);
        CHECK(decide_retry(ran) == retry_decision::give_up);
    }
    CHECK(decide_retry(failure(outcome::not_run, error_kind::overloaded, false)) ==
          retry_decision::retry);
    CHECK(decide_retry(failure(outcome::unknown, error_kind::target_lost, true)) ==
          retry_decision::retry);
}

// Guards against callers that repeat what cannot succeed, and against those that wait for nothing.
TEST_CASE("a retry time is stated only where a repetition may help")
{
    constexpr duration typical = std::chrono::milliseconds(600);
    CHECK(retry_after(error_kind::overloaded, outcome::not_run, typical) == typical / 2);
    CHECK(retry_after(error_kind::overloaded, outcome::not_run, std::chrono::milliseconds(1)) ==
          std::chrono::milliseconds(100));
    CHECK(retry_after(error_kind::overloaded, outcome::not_run, {}) == std::chrono::seconds(1));
    CHECK(retry_after(error_kind::not_ready, outcome::not_run, typical) == std::chrono::seconds(1));
    CHECK_FALSE(retry_after(error_kind::overloaded, outcome::unknown, typical));
    CHECK_FALSE(retry_after(error_kind::unknown_key, outcome::not_run, typical));
    CHECK_FALSE(retry_after(error_kind::no_route, outcome::not_run, typical));
}

TEST_CASE("an idempotent request whose target sent bytes without end is sent to another target")
{
    CHECK(decide_retry(failure(outcome::ran, error_kind::response_too_large, true)) ==
          retry_decision::retry);
    CHECK(decide_retry(failure(outcome::ran, error_kind::response_too_large, false)) ==
          retry_decision::give_up);
}

TEST_CASE("quarantined and late requests and those that crashed two targets are not retried")
{
    CHECK(decide_retry(failure(outcome::not_run, error_kind::quarantined, true)) ==
          retry_decision::give_up);
    auto late = failure(outcome::not_run, error_kind::overloaded, true);
    late.time_left_ = std::chrono::milliseconds(1);
    CHECK(decide_retry(late) == retry_decision::give_up);
    auto crashing = failure(outcome::unknown, error_kind::target_crashed, true);
    crashing.crashes_ = 1;
    CHECK(decide_retry(crashing) == retry_decision::retry);
    crashing.crashes_ = 2;
    CHECK(decide_retry(crashing) == retry_decision::give_up);
}

TEST_CASE("the budget limits retries to a fraction of the first attempts")
{
    retry_budget budget;
    int granted = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        budget.record_first_attempt("s", "o", now);
        granted += budget.try_spend("s", "o", 0.2, now) ? 1 : 0;
    }
    CHECK(granted <= 2010);
    CHECK(granted >= 1990);
}

TEST_CASE("an organisation with many retries does not use up the budget of another")
{
    retry_budget budget;
    for (int i = 0; i < 100; ++i)
    {
        budget.record_first_attempt("s", "calm", now);
        budget.try_spend("s", "storm", 0.2, now);
    }
    budget.record_first_attempt("s", "calm", now);
    CHECK(budget.try_spend("s", "calm", 0.2, now));
}

TEST_CASE("a request is sent to no more targets than its route allows")
{
    auto failed = failure(outcome::unknown, error_kind::target_lost, true);
    failed.attempts_ = 2;
    failed.max_targets_reached_ = 2;
    failed.targets_reached_ = 1;
    CHECK(decide_retry(failed) == retry_decision::retry);
    failed.targets_reached_ = 2;
    CHECK(decide_retry(failed) == retry_decision::give_up);
}

TEST_CASE("nodes that divide a burst do not exceed it together")
{
    constexpr int nodes = 24;
    constexpr double fleet_burst = 36.0;
    int granted = 0;
    for (int node = 0; node < nodes; ++node)
    {
        retry_budget budget;
        budget.set_burst(fleet_burst / nodes);
        for (int i = 0; i < 100; ++i)
        {
            granted += budget.try_spend("s", "o", 0.2, now) ? 1 : 0;
        }
    }
    CHECK(granted <= fleet_burst);
    CHECK(granted > 0);
}

TEST_CASE("in any ten seconds the retries stay within the fraction and the burst")
{
    // Every request fails at its first target for half a minute.
    retry_budget budget;
    budget.set_burst(6.0);
    std::vector<instant> granted;
    constexpr int per_second = 20;
    for (int i = 0; i < 30 * per_second; ++i)
    {
        const instant at = now + std::chrono::milliseconds(1000 * i / per_second);
        budget.record_first_attempt("s", std::to_string(i), at);
        if (budget.try_spend("s", std::to_string(i), 0.2, at))
        {
            granted.push_back(at);
        }
    }
    std::size_t most = 0;
    for (const instant& begin : granted)
    {
        const auto within = std::ranges::count_if(granted, [&](const instant& at) {
            return at >= begin && at < begin + std::chrono::seconds(9);
        });
        most = std::max(most, static_cast<std::size_t>(within));
    }
    CHECK(most <= static_cast<std::size_t>(0.2 * 10 * per_second + 6.0));
    CHECK(granted.size() >= static_cast<std::size_t>(0.2 * 25 * per_second));
}

TEST_CASE("after an idle time the burst is available again, and no more")
{
    retry_budget budget;
    budget.set_burst(2.0);
    int granted = 0;
    for (int i = 0; i < 10; ++i)
    {
        granted += budget.try_spend("s", std::to_string(i), 0.2, now) ? 1 : 0;
    }
    const instant later = now + std::chrono::seconds(40);
    for (int i = 0; i < 10; ++i)
    {
        granted += budget.try_spend("s", std::to_string(i), 0.2, later) ? 1 : 0;
    }
    CHECK(granted == 4);
}

// Guards against retries over the fleet's limit when nodes restart: each would have its part of the
// burst once more within one window.
TEST_CASE("a started process has no burst until what its predecessor sent has left the window")
{
    const instant started = instant{} + std::chrono::seconds(1000);
    retry_budget budget;
    budget.set_burst(5.0);
    budget.withhold_burst(started);
    CHECK_FALSE(budget.try_spend("orders", "", 0.2, started + std::chrono::seconds(9)));
    for (int i = 0; i < 5; ++i)
    {
        budget.record_first_attempt("orders", "", started + std::chrono::seconds(9));
    }
    CHECK(budget.try_spend("orders", "", 0.2, started + std::chrono::seconds(9)));
    CHECK_FALSE(budget.try_spend("orders", "", 0.2, started + std::chrono::seconds(9)));
    for (int i = 0; i < 5; ++i)
    {
        CHECK(budget.try_spend("orders", "", 0.2, started + std::chrono::seconds(10)));
    }
    CHECK_FALSE(budget.try_spend("orders", "", 0.2, started + std::chrono::seconds(10)));
}
