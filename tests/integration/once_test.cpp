#include "harness/at_most_once_run.hpp"
#include "harness/fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

const region_map one_region{{"lagos", {"ikeja", "lekki"}}};

struct payout_fleet
{
    payout_fleet()
    {
        fleet_.add_node("n1", "lagos", "ikeja");
        fleet_.add_node("n2", "lagos", "lekki");
        fleet_.add_backend("payout", "n1");
        fleet_.add_backend("payout", "n2");
        fleet_.wait_until_converged(2, 2);
        fleet_.apply(make_manifest({"payout"}, one_region));
    }

    response_message pay(std::string_view node, std::string_view key, std::string_view body,
                         std::string_view timeout_ms = "2000")
    {
        request_message request;
        request.method_ = "POST";
        request.target_ = "/payout";
        request.headers_ = {{"Idempotency-Key", std::string(key)},
                            {"X-Tag", "tag"},
                            {"X-Request-Timeout-Ms", std::string(timeout_ms)}};
        request.body_ = std::string(body);
        auto answer = http_call(fleet_.node(node).callers_, std::move(request));
        REQUIRE(answer);
        return *answer;
    }

    int runs(const std::string& key)
    {
        int count = 0;
        for (backend_process& item : fleet_.backends())
        {
            count += fleet_.backend_calls(item.target_)["runs_by_key"].value(key, 0);
        }
        return count;
    }

    fleet fleet_;
};

std::string error_of(const response_message& answer)
{
    return std::string(find_header(answer.headers_, "Bamboohoist-Error").value_or("none"));
}

std::string outcome_of(const response_message& answer)
{
    return std::string(find_header(answer.headers_, "Bamboohoist-Outcome").value_or("none"));
}

} // namespace

TEST_CASE("a resend at any node gets the same whole answer and no second run")
{
    payout_fleet payouts;
    const response_message first = payouts.pay("n1", "k1", "pay 5");
    CHECK(first.status_ == 200);
    for (int i = 0; i < 10; ++i)
    {
        response_message again = payouts.pay(i % 2 == 0 ? "n2" : "n1", "k1", "pay 5");
        while (error_of(again) == "still-running")
        {
            wait_for_duration(std::chrono::milliseconds(50));
            again = payouts.pay("n2", "k1", "pay 5");
        }
        CHECK(again.body_ == first.body_);
    }
    CHECK(payouts.runs("k1") == 1);
}

TEST_CASE("a key used for another request is refused")
{
    payout_fleet payouts;
    payouts.pay("n1", "k1", "pay 5");
    const response_message other = payouts.pay("n2", "k1", "pay 500");
    CHECK(error_of(other) == "key-reused");
    CHECK(outcome_of(other) == "not-run");
}

TEST_CASE("without the store a keyed request is refused as not run within its deadline")
{
    payout_fleet payouts;
    payouts.fleet_.set_store_fault({{"down", true}});
    const system_clock clock;
    const instant begin = clock.now();
    const response_message refused = payouts.pay("n1", "k1", "pay 5", "1000");
    CHECK(clock.now() - begin < std::chrono::milliseconds(1200));
    CHECK(error_of(refused) == "store-unavailable");
    CHECK(outcome_of(refused) == "not-run");
    CHECK(payouts.runs("k1") == 0);
    request_message look;
    look.method_ = "GET";
    look.target_ = "/payout";
    CHECK(http_call(payouts.fleet_.node("n1").callers_, look)->status_ == 200);
    payouts.fleet_.set_store_fault({{"down", false}});
    response_message later = payouts.pay("n1", "k1", "pay 5");
    const instant end = clock.now() + std::chrono::seconds(10);
    while (later.status_ != 200 && clock.now() < end)
    {
        wait_for_duration(std::chrono::milliseconds(100));
        later = payouts.pay("n1", "k1", "pay 5");
    }
    CHECK(later.status_ == 200);
    CHECK(payouts.runs("k1") == 1);
}

TEST_CASE("an answer after the caller's deadline is kept for the resend")
{
    payout_fleet payouts;
    for (backend_process& item : payouts.fleet_.backends())
    {
        payouts.fleet_.set_backend_fault(item.target_, {{"service_ms", 1200.0}, {"sigma", 0.01}});
    }
    const response_message late = payouts.pay("n1", "k1", "pay 5", "600");
    CHECK(error_of(late) == "deadline-exceeded");
    CHECK(outcome_of(late) == "unknown");
    response_message again = payouts.pay("n2", "k1", "pay 5");
    while (error_of(again) == "still-running")
    {
        wait_for_duration(std::chrono::milliseconds(100));
        again = payouts.pay("n2", "k1", "pay 5");
    }
    CHECK(again.status_ == 200);
    CHECK(payouts.runs("k1") == 1);
}

TEST_CASE("keyed requests run at most once under kills, freezes, cuts and store faults")
{
    const at_most_once_result result = run_at_most_once({12.0, 100.0, 3});
    CAPTURE(json(result.errors_).dump());
    CHECK(result.requests_ == 1200);
    CHECK(result.double_runs_ == 0);
    CHECK(result.false_not_run_ == 0);
    CHECK(result.phantom_responses_ == 0);
    CHECK(result.lost_ == 0);
    CHECK(result.wrong_ == 0);
}
