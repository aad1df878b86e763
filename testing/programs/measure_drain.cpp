/// Measures planned stops under load: the time from a drain request to the last request that the
/// target starts, and the requests interrupted by draining targets and by SIGTERM to a node. The
/// last line is one JSON object.

#include "harness/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(stops, 6, "number of drains to measure");
DEFINE_uint64(seed, 1, "seed of the load");

int main(int argc, char** argv)
{
    using namespace bamboohoist;
    using namespace bamboohoist::testing;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    fleet test_fleet;
    for (const char* node : {"n1", "n2", "n3", "n4"})
    {
        test_fleet.add_node(node, "lagos", node);
        test_fleet.add_backend("ledger", node);
        test_fleet.add_backend("ledger", node);
    }
    test_fleet.wait_until_converged(4, 8);
    test_fleet.apply(make_manifest({"ledger"}, {{"lagos", {"n1", "n2", "n3", "n4"}}}));
    load_plan plan =
        make_load_plan(test_fleet.callers(), "/ledger", 300, 5.0 + 4.0 * FLAGS_stops + 8.0);
    load_kind& kind = plan.kinds_.front();
    kind.name_ = "post";
    kind.method_ = "POST";
    kind.body_ = "{n}";
    background_load load(plan, FLAGS_seed);
    const system_clock clock;
    std::vector<double> last_start_s;
    for (int i = 0; i < FLAGS_stops; ++i)
    {
        const std::string target = test_fleet.backends()[static_cast<std::size_t>(i) % 8].target_;
        nlohmann::json drain_request{{"target", target}, {"who", "measure"}, {"why", "drain"}};
        const std::int64_t requested_ms = clock.wall_ms();
        json_call(test_fleet.node("n1").operators_, "POST", "/v1/drain", drain_request);
        wait_for_duration(std::chrono::seconds(3));
        const nlohmann::json calls = test_fleet.backend_calls(target);
        last_start_s.push_back(
            static_cast<double>(calls["last_start_ms"].get<std::int64_t>() - requested_ms) /
            1000.0);
        drain_request["resume"] = true;
        json_call(test_fleet.node("n1").operators_, "POST", "/v1/drain", drain_request);
        wait_for_duration(std::chrono::seconds(1));
    }
    test_fleet.node("n4").process_->signal(SIGTERM);
    const bool node_ended =
        test_fleet.node("n4").process_->wait_exit(std::chrono::seconds(20)) == 0;
    const load_result result = load.finish();
    std::uint64_t interrupted = 0;
    for (const auto& [outcome_kind, count] : result.outcomes_)
    {
        interrupted += outcome_kind == load_outcome::complete ? 0 : count;
    }
    std::ranges::sort(last_start_s);
    const nlohmann::ordered_json line{
        {"measure", "drain"},
        {"seed", FLAGS_seed},
        {"last_new_work_s", last_start_s},
        {"target_s", 2.0},
        {"requests", result.latencies_by_kind_.at(kind.name_).count()},
        {"cut", interrupted},
        {"node_ended", node_ended},
        {"errors", result.errors_}};
    std::cout << line.dump() << std::endl;
    return last_start_s.back() <= 2.0 && interrupted == 0 && node_ended ? 0 : 1;
}
