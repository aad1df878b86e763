#include "harness/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

const region_map one_region{{"baires", {"baires-1", "baires-2"}}};

/// Two nodes with two backend servers each, and a floor of three quarters.
struct stop_fleet
{
    stop_fleet()
    {
        fleet_.add_node("n1", "baires", "baires-1");
        fleet_.add_node("n2", "baires", "baires-2");
        for (const char* node : {"n1", "n1", "n2", "n2"})
        {
            fleet_.add_backend("certs", node, 3);
        }
        fleet_.wait_until_converged(2, 4);
        manifest_ = make_manifest({"certs"}, one_region);
        manifest_["services"][0]["floor"] = 0.75;
        fleet_.apply(manifest_);
    }

    json drain(const std::string& target, bool resume = false)
    {
        return json_call(fleet_.node("n1").operators_, "POST", "/v1/drain",
                         {{"target", target},
                          {"who", "day staff"},
                          {"why", "new kernel"},
                          {"resume", resume}})
            .body_;
    }

    /// What a backend server does when it ends in order.
    void withdraw(const backend_process& item)
    {
        fleet_.set_backend_fault(item.target_, {{"announces", false}});
        json_call(fleet_.node(item.node_).announce_, "DELETE", "/v1/targets",
                  {{"service", item.service_},
                   {"address", item.address_},
                   {"slots", item.slots_},
                   {"incarnation", "ends"}});
    }

    bool is_leaving(const std::string& target, bool wanted = true)
    {
        return fleet_.wait_status(
            "n1",
            [&](const json& status) {
                for (const json& node : status["nodes"])
                {
                    for (const json& entry : node["targets"])
                    {
                        if (entry["target"] == target)
                        {
                            return entry["leaving"] == wanted;
                        }
                    }
                }
                return false;
            },
            std::chrono::seconds(5));
    }

    background_load load(double seconds)
    {
        load_plan plan = make_load_plan(fleet_.callers(), "/certs", 200, seconds);
        load_kind& kind = plan.kinds_.front();
        kind.method_ = "POST";
        kind.body_ = "{n}";
        return background_load(plan, 4);
    }

    std::string explain(const std::string& subject)
    {
        return json_call(fleet_.node("n2").operators_, "GET", "/v1/timeline?subject=" + subject)
            .body_.dump();
    }

    fleet fleet_;
    json manifest_;
};

} // namespace

TEST_CASE("a drained target gets no new work within two seconds and nothing is cut")
{
    stop_fleet stops;
    const std::string target = stops.fleet_.backends()[0].target_;
    background_load load = stops.load(6.0);
    wait_for_duration(std::chrono::seconds(2));
    const system_clock clock;
    const std::int64_t ordered_ms = clock.wall_ms();
    stops.drain(target);
    const load_result result = load.finish();
    CAPTURE(json(result.errors_).dump());
    CHECK(result.outcomes_.at(load_outcome::complete) == 1200);
    const json calls = stops.fleet_.backend_calls(target);
    CHECK(calls["last_start_ms"].get<std::int64_t>() - ordered_ms <= 2000);
    CHECK(calls["running"] == 0);
    CHECK(stops.explain(target).find("new kernel") != std::string::npos);
    stops.drain(target, true);
    CHECK(stops.is_leaving(target, false));
}

TEST_CASE("a stop that would break the floor waits and says so")
{
    stop_fleet stops;
    // Drained on different nodes at once, one may go and the other has to wait.
    const std::string first = stops.fleet_.backends()[0].target_;
    const std::string second = stops.fleet_.backends()[2].target_;
    stops.drain(first);
    stops.drain(second);
    const std::string goes = std::min(first, second);
    const std::string waits = std::max(first, second);
    CHECK(stops.is_leaving(goes));
    wait_for_duration(std::chrono::seconds(2));
    CHECK_FALSE(stops.is_leaving(waits));
    CHECK(stops.explain(waits).find("stop waits for the floor") != std::string::npos);
    CHECK(stops.explain(waits).find("the floor is 9.0") != std::string::npos);
    stops.drain(goes, true);
    CHECK(stops.is_leaving(waits));
}

TEST_CASE("a stop plan of the manifest runs by itself and explains itself")
{
    stop_fleet stops;
    const std::string target = stops.fleet_.backends()[1].target_;
    json manifest = stops.manifest_;
    manifest["stop_plans"] = json::array(
        {{{"name", "kernel-night"},
          {"target", target},
          {"note", {{"who", "day staff"}, {"why", "kernel update"}, {"until", "morning"}}}}});
    stops.fleet_.apply(manifest);
    CHECK(stops.is_leaving(target));
    const std::string story = stops.explain(target);
    CHECK(story.find("stop plan kernel-night") != std::string::npos);
    CHECK(story.find("day staff: kernel update") != std::string::npos);
    stops.fleet_.apply(stops.manifest_);
    CHECK(stops.is_leaving(target, false));
}

TEST_CASE("a rolling restart of a whole service under load cuts nothing and loses nothing")
{
    stop_fleet stops;
    background_load load = stops.load(14.0);
    wait_for_duration(std::chrono::seconds(1));
    for (backend_process& item : stops.fleet_.backends())
    {
        const std::string old = item.target_;
        stops.drain(old);
        const bool leaves = stops.is_leaving(old);
        CAPTURE(stops.explain(old));
        REQUIRE(leaves);
        const bool idle = stops.fleet_.wait_idle(old, std::chrono::seconds(5));
        REQUIRE(idle);
        stops.withdraw(item);
        item.process_->kill();
        stops.fleet_.replace_backend(item);
        REQUIRE(stops.is_leaving(item.target_, false));
    }
    const load_result result = load.finish();
    CAPTURE(json(result.errors_).dump());
    CHECK(result.outcomes_.at(load_outcome::complete) == 2800);
}

TEST_CASE("a drain ends with the life of its target, also when the next has the same address")
{
    stop_fleet stops;
    const std::string announce = stops.fleet_.node("n1").announce_;
    const auto announce_life = [&](const char* incarnation) {
        json_call(announce, "PUT", "/v1/targets",
                  {{"service", "certs"},
                   {"address", "127.0.0.1:9"},
                   {"slots", 1},
                   {"incarnation", incarnation}});
    };
    announce_life("first");
    stops.drain("certs@127.0.0.1:9");
    REQUIRE(stops.is_leaving("certs@127.0.0.1:9"));
    announce_life("second");
    CHECK(stops.is_leaving("certs@127.0.0.1:9", false));
    wait_for_duration(std::chrono::seconds(1));
    CHECK(stops.is_leaving("certs@127.0.0.1:9", false));
}

TEST_CASE("a reload that is asked for while a node leaves does not end it")
{
    stop_fleet fleet_of_two;
    fleet& started = fleet_of_two.fleet_;
    const auto& leaving = *started.node("n2").process_;
    leaving.signal(SIGHUP);
    CHECK(started.node("n2").process_->wait_line("settings read again", std::chrono::seconds(5)));
    leaving.signal(SIGTERM);
    CHECK(started.node("n2").process_->wait_line("node leaves", std::chrono::seconds(5)));
    leaving.signal(SIGHUP);
    CHECK(started.node("n2").process_->wait_exit(std::chrono::seconds(30)) == 0);
}
