#include "harness/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

const region_map one_region{{"baires", {"baires-1", "baires-2"}}};

/// Two nodes with two backend servers each, and a floor of three quarters.
struct stop_fixture
{
    stop_fixture()
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

    /// Deregisters a backend server, as it does itself in an orderly shutdown.
    void deregister(const backend_process& item)
    {
        fleet_.set_backend_fault(item.target_, {{"announces", false}});
        json_call(fleet_.node(item.node_).announce_, "DELETE", "/v1/targets",
                  {{"service", item.service_},
                   {"address", item.address_},
                   {"slots", item.slots_},
                   {"incarnation", "ends"}});
    }

    bool wait_until_leaving(const std::string& target, bool wanted = true)
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

    background_load start_load(double seconds)
    {
        load_plan plan = make_load_plan(fleet_.callers(), "/certs", 200, seconds);
        load_kind& kind = plan.kinds_.front();
        kind.method_ = "POST";
        kind.body_ = "{n}";
        return background_load(plan, 4);
    }

    std::string read_timeline(const std::string& subject)
    {
        return json_call(fleet_.node("n2").operators_, "GET", "/v1/timeline?subject=" + subject)
            .body_.dump();
    }

    fleet fleet_;
    json manifest_;
};

} // namespace

TEST_CASE("a drained target gets no new requests after two seconds and no request is interrupted")
{
    stop_fixture fixture;
    const std::string target = fixture.fleet_.backends()[0].target_;
    background_load load = fixture.start_load(6.0);
    wait_for_duration(std::chrono::seconds(2));
    const system_clock clock;
    const std::int64_t drained_at_ms = clock.wall_ms();
    fixture.drain(target);
    const load_result result = load.finish();
    CAPTURE(json(result.errors_).dump());
    CHECK(result.outcomes_.at(load_outcome::complete) == 1200);
    const json calls = fixture.fleet_.backend_calls(target);
    CHECK(calls["last_start_ms"].get<std::int64_t>() - drained_at_ms <= 2000);
    CHECK(calls["running"] == 0);
    CHECK(fixture.read_timeline(target).find("new kernel") != std::string::npos);
    fixture.drain(target, true);
    CHECK(fixture.wait_until_leaving(target, false));
}

TEST_CASE("a stop that would break the floor waits and reports this")
{
    stop_fixture fixture;
    // Both are drained at once on different nodes: one may leave, and the other has to wait.
    const std::string first = fixture.fleet_.backends()[0].target_;
    const std::string second = fixture.fleet_.backends()[2].target_;
    fixture.drain(first);
    fixture.drain(second);
    const std::string leaving = std::min(first, second);
    const std::string waiting = std::max(first, second);
    CHECK(fixture.wait_until_leaving(leaving));
    wait_for_duration(std::chrono::seconds(2));
    CHECK_FALSE(fixture.wait_until_leaving(waiting));
    CHECK(fixture.read_timeline(waiting).find("stop waits for the floor") != std::string::npos);
    CHECK(fixture.read_timeline(waiting).find("the floor is 9.0") != std::string::npos);
    fixture.drain(leaving, true);
    CHECK(fixture.wait_until_leaving(waiting));
}

TEST_CASE("a stop plan of the manifest is carried out and explained in the time line")
{
    stop_fixture fixture;
    const std::string target = fixture.fleet_.backends()[1].target_;
    json manifest = fixture.manifest_;
    manifest["stop_plans"] = json::array(
        {{{"name", "kernel-night"},
          {"target", target},
          {"note", {{"who", "day staff"}, {"why", "kernel update"}, {"until", "morning"}}}}});
    fixture.fleet_.apply(manifest);
    CHECK(fixture.wait_until_leaving(target));
    const std::string explained = fixture.read_timeline(target);
    CHECK(explained.find("stop plan kernel-night") != std::string::npos);
    CHECK(explained.find("day staff: kernel update") != std::string::npos);
    fixture.fleet_.apply(fixture.manifest_);
    CHECK(fixture.wait_until_leaving(target, false));
}

TEST_CASE(
    "a rolling restart of all targets of a service under load interrupts and loses no request")
{
    stop_fixture fixture;
    background_load load = fixture.start_load(14.0);
    wait_for_duration(std::chrono::seconds(1));
    for (backend_process& item : fixture.fleet_.backends())
    {
        const std::string old = item.target_;
        fixture.drain(old);
        const bool leaves = fixture.wait_until_leaving(old);
        CAPTURE(fixture.read_timeline(old));
        REQUIRE(leaves);
        const bool idle = fixture.fleet_.wait_idle(old, std::chrono::seconds(5));
        REQUIRE(idle);
        fixture.deregister(item);
        item.process_->kill();
        fixture.fleet_.replace_backend(item);
        REQUIRE(fixture.wait_until_leaving(item.target_, false));
    }
    const load_result result = load.finish();
    CAPTURE(json(result.errors_).dump());
    CHECK(result.outcomes_.at(load_outcome::complete) == 2800);
}

TEST_CASE("a drain ends with its target's incarnation, even if the next one has the same address")
{
    stop_fixture fixture;
    const std::string announce = fixture.fleet_.node("n1").announce_;
    const auto announce_incarnation = [&](const char* incarnation) {
        json_call(announce, "PUT", "/v1/targets",
                  {{"service", "certs"},
                   {"address", "127.0.0.1:9"},
                   {"slots", 1},
                   {"incarnation", incarnation}});
    };
    announce_incarnation("first");
    fixture.drain("certs@127.0.0.1:9");
    REQUIRE(fixture.wait_until_leaving("certs@127.0.0.1:9"));
    announce_incarnation("second");
    CHECK(fixture.wait_until_leaving("certs@127.0.0.1:9", false));
    wait_for_duration(std::chrono::seconds(1));
    CHECK(fixture.wait_until_leaving("certs@127.0.0.1:9", false));
}

TEST_CASE("a reload while a node leaves does not end the node")
{
    stop_fixture fixture;
    fleet& started = fixture.fleet_;
    const auto& leaving = *started.node("n2").process_;
    leaving.signal(SIGHUP);
    CHECK(started.node("n2").process_->wait_line("settings read again", std::chrono::seconds(5)));
    leaving.signal(SIGTERM);
    CHECK(started.node("n2").process_->wait_line("node leaves", std::chrono::seconds(5)));
    leaving.signal(SIGHUP);
    CHECK(started.node("n2").process_->wait_exit(std::chrono::seconds(30)) == 0);
}
