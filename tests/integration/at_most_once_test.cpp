#include "harness/at_most_once_run.hpp"
#include "harness/fleet.hpp"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

const region_map one_region{{"lagos", {"ikeja", "lekki"}}};

struct payout_fixture
{
    payout_fixture()
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
        auto response = http_call(fleet_.node(node).callers_, std::move(request));
        REQUIRE(response);
        return *response;
    }

    int count_runs(const std::string& key)
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

std::string error_of(const response_message& response)
{
    return std::string(find_header(response.headers_, "Bamboohoist-Error").value_or("none"));
}

std::string outcome_of(const response_message& response)
{
    return std::string(find_header(response.headers_, "Bamboohoist-Outcome").value_or("none"));
}

} // namespace

TEST_CASE("a repeated request at any node gets the same complete response and does not run again")
{
    payout_fixture fixture;
    const response_message first = fixture.pay("n1", "k1", "pay 5");
    CHECK(first.status_ == 200);
    for (int i = 0; i < 10; ++i)
    {
        response_message repeated = fixture.pay(i % 2 == 0 ? "n2" : "n1", "k1", "pay 5");
        while (error_of(repeated) == "still-running")
        {
            wait_for_duration(std::chrono::milliseconds(50));
            repeated = fixture.pay("n2", "k1", "pay 5");
        }
        CHECK(repeated.body_ == first.body_);
    }
    CHECK(fixture.count_runs("k1") == 1);
}

TEST_CASE("a key that was used for another request is refused")
{
    payout_fixture fixture;
    fixture.pay("n1", "k1", "pay 5");
    const response_message other = fixture.pay("n2", "k1", "pay 500");
    CHECK(error_of(other) == "key-reused");
    CHECK(outcome_of(other) == "not-run");
}

TEST_CASE("without the store a keyed request is refused as not run within its deadline")
{
    payout_fixture fixture;
    fixture.fleet_.set_store_fault({{"down", true}});
    const system_clock clock;
    const instant begin = clock.now();
    const response_message refused = fixture.pay("n1", "k1", "pay 5", "1000");
    CHECK(clock.now() - begin < std::chrono::milliseconds(1200));
    CHECK(error_of(refused) == "store-unavailable");
    CHECK(outcome_of(refused) == "not-run");
    CHECK(fixture.count_runs("k1") == 0);
    request_message read_request;
    read_request.method_ = "GET";
    read_request.target_ = "/payout";
    CHECK(http_call(fixture.fleet_.node("n1").callers_, read_request)->status_ == 200);
    fixture.fleet_.set_store_fault({{"down", false}});
    response_message repeated = fixture.pay("n1", "k1", "pay 5");
    const instant end = clock.now() + std::chrono::seconds(10);
    while (repeated.status_ != 200 && clock.now() < end)
    {
        wait_for_duration(std::chrono::milliseconds(100));
        repeated = fixture.pay("n1", "k1", "pay 5");
    }
    CHECK(repeated.status_ == 200);
    CHECK(fixture.count_runs("k1") == 1);
}

TEST_CASE("a response after the caller's deadline is kept for the repeated request")
{
    payout_fixture fixture;
    for (backend_process& item : fixture.fleet_.backends())
    {
        fixture.fleet_.set_backend_fault(item.target_, {{"service_ms", 1200.0}, {"sigma", 0.01}});
    }
    const response_message late_response = fixture.pay("n1", "k1", "pay 5", "600");
    CHECK(error_of(late_response) == "deadline-exceeded");
    CHECK(outcome_of(late_response) == "unknown");
    response_message repeated = fixture.pay("n2", "k1", "pay 5");
    while (error_of(repeated) == "still-running")
    {
        wait_for_duration(std::chrono::milliseconds(100));
        repeated = fixture.pay("n2", "k1", "pay 5");
    }
    CHECK(repeated.status_ == 200);
    CHECK(fixture.count_runs("k1") == 1);
}

TEST_CASE("keyed requests run at most once under kills, freezes, broken links and store faults")
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

// Guards against a node that ends with a memory error: a target was deleted while a request for it
// waited for the claim of its idempotency key.
TEST_CASE("a target may go while the idempotency keys of its requests are being claimed")
{
    payout_fixture fixture;
    fixture.fleet_.set_store_fault({{"delay_ms", 400}});
    for (backend_process& item : fixture.fleet_.backends())
    {
        fixture.fleet_.set_backend_fault(item.target_, {{"announces", false}});
    }
    constexpr int request_count = 16;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    callers.reserve(request_count);
    for (int i = 0; i < request_count; ++i)
    {
        callers.emplace_back([&, i] {
            request_message request;
            request.method_ = "POST";
            request.target_ = "/payout";
            request.headers_ = {{"Idempotency-Key", "k" + std::to_string(i)},
                                {"X-Request-Timeout-Ms", "2000"}};
            const std::string node = i % 2 == 0 ? "n1" : "n2";
            answered += http_call(fixture.fleet_.node(node).callers_, request) ? 1 : 0;
        });
    }
    wait_for_duration(std::chrono::milliseconds(100));
    for (backend_process& item : fixture.fleet_.backends())
    {
        json_call(fixture.fleet_.node(item.node_).announce_, "DELETE", "/v1/targets",
                  {{"service", item.service_},
                   {"address", item.address_},
                   {"slots", item.slots_},
                   {"incarnation", "ends"}});
    }
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    CHECK(answered == request_count);
}
