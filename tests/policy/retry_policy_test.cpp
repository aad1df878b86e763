#include "policy/retry_policy.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

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

TEST_CASE("only what did not run or may run again is tried again")
{
    for (const error_answer& row : error_table())
    {
        const auto unsafe = failure(outcome::unknown, row.kind_, false);
        CHECK(decide_retry(unsafe) == retry_verdict::answer);
        const auto ran = failure(outcome::ran, row.kind_, false);
        CHECK(decide_retry(ran) == retry_verdict::answer);
    }
    CHECK(decide_retry(failure(outcome::not_run, error_kind::overloaded, false)) ==
          retry_verdict::retry);
    CHECK(decide_retry(failure(outcome::unknown, error_kind::target_lost, true)) ==
          retry_verdict::retry);
}

TEST_CASE("quarantined requests, late ones and those that crashed two targets are not tried again")
{
    CHECK(decide_retry(failure(outcome::not_run, error_kind::quarantined, true)) ==
          retry_verdict::answer);
    auto late = failure(outcome::not_run, error_kind::overloaded, true);
    late.time_left_ = std::chrono::milliseconds(1);
    CHECK(decide_retry(late) == retry_verdict::answer);
    auto crashing = failure(outcome::unknown, error_kind::target_crashed, true);
    crashing.crashes_ = 1;
    CHECK(decide_retry(crashing) == retry_verdict::retry);
    crashing.crashes_ = 2;
    CHECK(decide_retry(crashing) == retry_verdict::answer);
}

TEST_CASE("budgets bound retries to a share of first attempts")
{
    retry_budget budget;
    int granted = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        budget.earn("s", "o", 0.2);
        granted += budget.spend("s", "o") ? 1 : 0;
    }
    CHECK(granted <= 2010);
    CHECK(granted >= 1990);
}

TEST_CASE("an organisation that storms does not use up the budget of another")
{
    retry_budget budget;
    for (int i = 0; i < 100; ++i)
    {
        budget.earn("s", "calm", 0.2);
        budget.spend("s", "storm");
    }
    budget.earn("s", "calm", 0.2);
    CHECK(budget.spend("s", "calm"));
}
