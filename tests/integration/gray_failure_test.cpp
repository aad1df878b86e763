#include "harness/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <set>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

const region_map one_region{{"lagos", {"ikeja", "lekki"}}};

/// Two nodes with four backend servers of one service each.
struct gray_failure_fleet
{
    explicit gray_failure_fleet(const char* health = "detection-time")
    {
        fleet_.add_node("n1", "lagos", "ikeja");
        fleet_.add_node("n2", "lagos", "lekki");
        for (int i = 0; i < 8; ++i)
        {
            fleet_.add_backend("ledger", i % 2 == 0 ? "n1" : "n2");
        }
        fleet_.wait_until_converged(2, 8);
        json manifest = make_manifest({"ledger"}, one_region);
        manifest["services"][0]["health"] = health;
        fleet_.apply(manifest);
    }

    background_load start_load(double seconds, double rate)
    {
        load_plan plan = make_load_plan(fleet_.callers(), "/ledger/{n}", rate, seconds);
        plan.resends_ = 3;
        return background_load(plan, 2);
    }

    /// Time line of one target and status of the fleet, for the output of a failed check.
    std::string describe_target(const std::string& target)
    {
        const std::string& operators = fleet_.node("n1").operators_;
        const json events = json_call(operators, "GET", "/v1/timeline?subject=" + target).body_;
        const json status = json_call(operators, "GET", "/v1/status").body_;
        return events.dump() + "\n" + status.dump();
    }

    /// Number of ejections of one target, or of all targets when it is empty.
    std::size_t count_ejections(const std::string& target)
    {
        const json events =
            json_call(fleet_.node("n1").operators_, "GET", "/v1/timeline?subject=" + target).body_;
        return static_cast<std::size_t>(std::ranges::count_if(
            events["events"], [](const json& entry) { return entry["what"] == "target ejected"; }));
    }

    fleet fleet_;
};

} // namespace

TEST_CASE(
    "a target that responds to probes but stalls requests is ejected and all requests complete")
{
    gray_failure_fleet fixture;
    const std::string target = fixture.fleet_.backends()[3].target_;
    background_load load = fixture.start_load(6.0, 300);
    wait_for_duration(std::chrono::seconds(3));
    fixture.fleet_.set_backend_fault(target, {{"stall_share", 1.0}});
    const load_result result = load.finish();
    CAPTURE(fixture.describe_target(target));
    CHECK(result.outcomes_.at(load_outcome::complete) == 1800);
    CHECK(fixture.count_ejections(target) >= 1);
    CHECK(fixture.count_ejections("") == fixture.count_ejections(target));
}

TEST_CASE("a target that responds quickly with errors does not attract the traffic")
{
    gray_failure_fleet fixture;
    const std::string target = fixture.fleet_.backends()[0].target_;
    background_load load = fixture.start_load(6.0, 300);
    wait_for_duration(std::chrono::seconds(3));
    fixture.fleet_.set_backend_fault(target, {{"error_share", 1.0}});
    const load_result result = load.finish();
    CHECK(fixture.count_ejections(target) >= 1);
    const auto failed = result.outcomes_.find(load_outcome::failed);
    CHECK((failed == result.outcomes_.end() || failed->second < 30));
}

TEST_CASE("when all targets of a service slow down, the floor stays in use")
{
    gray_failure_fleet fixture;
    background_load load = fixture.start_load(6.0, 200);
    wait_for_duration(std::chrono::seconds(2));
    for (backend_process& item : fixture.fleet_.backends())
    {
        fixture.fleet_.set_backend_fault(item.target_, {{"factor", 10.0}});
    }
    const load_result result = load.finish();
    CHECK(result.outcomes_.at(load_outcome::complete) == 1200);
    // The baseline adapts to the slower service, so that targets return.
    const bool recovered = fixture.fleet_.wait_status(
        "n1",
        [](const json& status) {
            int ejected = 0;
            for (const json& node : status["nodes"])
            {
                for (const json& target : node["targets"])
                {
                    ejected += target["weight"] == 0 ? 1 : 0;
                }
            }
            return ejected <= 4;
        },
        std::chrono::seconds(1));
    CHECK(recovered);
}

TEST_CASE("a request that crashes its target crashes two at most and all others complete")
{
    gray_failure_fleet fixture;
    background_load load = fixture.start_load(5.0, 200);
    wait_for_duration(std::chrono::seconds(1));
    request_message crashing_request;
    crashing_request.method_ = "POST";
    crashing_request.target_ = "/ledger/poison";
    crashing_request.headers_ = {{"X-Crash", "1"}};
    std::string last_error;
    for (int i = 0; i < 30; ++i)
    {
        const std::string node = i % 2 == 0 ? "n1" : "n2";
        const auto response = http_call(fixture.fleet_.node(node).callers_, crashing_request);
        REQUIRE(response);
        last_error =
            std::string(find_header(response->headers_, "Bamboohoist-Error").value_or("none"));
        wait_for_duration(std::chrono::milliseconds(20));
    }
    CHECK(last_error == "quarantined");
    const auto dead = std::ranges::count_if(fixture.fleet_.backends(), [](backend_process& item) {
        return item.process_->wait_exit(std::chrono::milliseconds(1)).has_value();
    });
    CHECK(dead == 2);
    const load_result result = load.finish();
    CHECK(result.outcomes_.at(load_outcome::complete) == 1000);
    CHECK_FALSE(result.errors_.contains("quarantined"));

    // An operator finds the request in the time line and releases it: it crashes a target again.
    const std::string& operators = fixture.fleet_.node("n2").operators_;
    const json events = json_call(operators, "GET", "/v1/timeline?subject=request-like").body_;
    REQUIRE_FALSE(events["events"].empty());
    std::string subject = events["events"][0]["subject"];
    const json release_request{
        {"request_like", subject.substr(subject.find(' ') + 1)}, {"who", "ada"}, {"why", "fixed"}};
    CHECK(json_call(operators, "POST", "/v1/release", release_request).body_["nodes"] == 2);
    const auto repeated = http_call(fixture.fleet_.node("n1").callers_, crashing_request);
    REQUIRE(repeated);
    CHECK(find_header(repeated->headers_, "Bamboohoist-Error") == "target-crashed");
}

TEST_CASE("late and reordered responses reach only the callers that sent the requests")
{
    fleet started;
    const int path = started.make_path({{"server", "127.0.0.1:1"}});
    started.add_node("n1", "lagos", "ikeja");
    started.add_node("n2", "lagos", "lekki",
                     {{"advertise_peers", "127.0.0.1:" + std::to_string(path)}});
    started.set_path(path, {{"server", started.node("n2").peers_},
                            {"forward", {{"delay_ms", 2}, {"jitter_ms", 20}}},
                            {"backward", {{"delay_ms", 2}, {"jitter_ms", 20}}}});
    for (int i = 0; i < 4; ++i)
    {
        backend_process& item = started.add_backend("ledger", i % 2 == 0 ? "n1" : "n2");
        started.set_backend_fault(item.target_, {{"service_ms", 5.0}, {"sigma", 1.2}});
    }
    started.wait_until_converged(2, 4);
    started.apply(make_manifest({"ledger"}, one_region));
    load_plan plan = make_load_plan(started.callers(), "/ledger/{n}", 600, 5);
    plan.connections_ = 8; // Many requests share a connection.
    plan.resends_ = 5;
    load_kind& kind = plan.kinds_.front();
    kind.body_ = "question {n}";
    kind.timeout_ms_ = 1000;
    background_load load(plan, 8);
    for (int i = 0; i < 8; ++i)
    {
        wait_for_duration(std::chrono::milliseconds(500));
        started.set_path(path, {{"reset", true}});
    }
    const load_result result = load.finish();
    CAPTURE(json(result.errors_).dump());
    CHECK(result.outcomes_.at(load_outcome::complete) >= 2900);
    CHECK_FALSE(result.outcomes_.contains(load_outcome::wrong));
    CHECK_FALSE(result.outcomes_.contains(load_outcome::lost));
}
