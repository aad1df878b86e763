#include "harness/http_call.hpp"
#include "harness/platform_fixture.hpp"
#include "harness/platform_messages.hpp"
#include "harness/wait_for.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

constexpr duration event_timeout = std::chrono::seconds(5);
/// How long after a heartbeat it shows whether the target is in use.
constexpr duration use_time = std::chrono::milliseconds(500);
constexpr duration beat_period = std::chrono::milliseconds(500);
constexpr std::int64_t minute_ms = 60'000;

std::string make_document()
{
    const json body{{"Version", 1},
                    {"Routes",
                     {{"r-pay",
                       {{"Hostname", "shop.example"},
                        {"Prefix", "/pay/"},
                        {"Kind", "non_idempotent"},
                        {"Timeout", "1s"},
                        {"TargetLatency", "500ms"},
                        {"Service", "orders"},
                        {"Attempts", 2U}}}}},
                    {"Services", {{"orders", {{"HealthPath", "/health"}}}}},
                    {"Limits", json::object()}};
    return body.dump();
}

void sleep_for(duration time)
{
    wait_for([] { return false; }, time);
}

/// A VM whose target i-1 has been up for a minute and is in use.
struct leaving_fixture
{
    leaving_fixture()
    {
        fixture_.run_with_store(
            [](platform_store& store) { store.put("op/config", make_document()); });
        fixture_.start_node();
        REQUIRE(fixture_.wait_ready(200));
        REQUIRE(beat(1, born_ms_) == 200);
        REQUIRE(wait_for([&] { return status() == 200; }, event_timeout));
    }

    int beat(std::uint64_t sequence, std::int64_t born_ms)
    {
        return fixture_.send_heartbeat("i-1", "ready", sequence, born_ms);
    }

    /// The node's process is killed and started again.
    void restart_node()
    {
        fixture_.start_node();
        REQUIRE(fixture_.wait_ready(200));
    }

    int status() const
    {
        const auto response = http_call(fixture_.callers(), make_request("POST", "/pay/1"));
        return response ? response->status_ : 0;
    }

    /// The last heartbeat from before the leaving arrives; no request may reach the target.
    void check_stays_gone()
    {
        const std::size_t received_before = fixture_.received().size();
        CHECK(wait_for([&] { return beat(2, born_ms_) == 200; }, event_timeout));
        sleep_for(use_time);
        CHECK(status() == 503);
        CHECK(fixture_.received().size() == received_before);
    }

    platform_fixture fixture_{
        [](const request_message& request) { return make_signed_response(request, "paid"); }};
    std::int64_t started_ms_ = system_clock().wall_ms();
    std::int64_t born_ms_ = started_ms_ - minute_ms;
};

} // namespace

// Guards against a node that takes a late heartbeat for that of a new start, because it did not
// know, when it acknowledged the leaving, which start was meant (review/11, DRAIN).
TEST_CASE("a leaving that a restarted node acknowledged without knowing its target is not undone")
{
    leaving_fixture test;
    test.restart_node();
    REQUIRE(test.fixture_.send_deregistration("i-1") == 200);
    SUBCASE("by a late heartbeat") {}
    SUBCASE("by a late heartbeat after another restart of the node")
    {
        test.restart_node();
    }
    test.check_stays_gone();
    // A target that starts later under the same name is a new one at once.
    CHECK(test.beat(1, system_clock().wall_ms() + minute_ms) == 200);
    CHECK(wait_for([&] { return test.status() == 200; }, event_timeout));
}

// Guards against a target that is never used because its start cannot be told from the one that
// has ended.
TEST_CASE("a target that starts again at once under its name is in use soon, beside late beats")
{
    leaving_fixture test;
    test.restart_node();
    REQUIRE(test.fixture_.send_deregistration("i-1") == 200);
    const std::int64_t born_ms = system_clock().wall_ms();
    std::uint64_t sequence = 0;
    CHECK(wait_for(
        [&] {
            test.beat(++sequence, born_ms);
            test.beat(sequence + 5, test.born_ms_);
            sleep_for(beat_period);
            return test.status() == 200;
        },
        event_timeout));
}

// Guards against notes that end with the leases, all of which may end while the store is down
// (review/12, DRAIN).
TEST_CASE("an acknowledged leaving outlives the end of all leases, whenever nodes are killed")
{
    leaving_fixture test;
    REQUIRE(test.fixture_.send_deregistration("i-1", test.born_ms_) == 200);
    const auto end_leases = [&] {
        test.fixture_.run_with_store([](platform_store& store) {
            store.set_failure_status(503);
            store.revoke_leases();
        });
    };
    const auto restore = [&] {
        test.fixture_.run_with_store([](platform_store& store) { store.set_failure_status(0); });
    };
    SUBCASE("before it")
    {
        test.restart_node();
        end_leases();
        sleep_for(use_time);
        restore();
    }
    SUBCASE("meanwhile")
    {
        end_leases();
        test.fixture_.start_node();
        sleep_for(use_time);
        restore();
    }
    SUBCASE("after it")
    {
        end_leases();
        sleep_for(use_time);
        restore();
        test.restart_node();
    }
    SUBCASE("twice")
    {
        for (int i = 0; i < 2; ++i)
        {
            end_leases();
            test.fixture_.start_node();
            sleep_for(use_time);
            restore();
            REQUIRE(test.fixture_.wait_ready(200));
        }
        test.restart_node();
    }
    REQUIRE(test.fixture_.wait_ready(200));
    test.check_stays_gone();
    CHECK(test.beat(1, test.born_ms_ + 2 * minute_ms) == 200);
    CHECK(wait_for([&] { return test.status() == 200; }, event_timeout));
}
