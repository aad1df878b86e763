/// Measures planned stops: the last new work after leaving, and requests cut, for drains of targets
/// and for SIGTERM to nodes under load. The last line is one JSON object.

#include "harness/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(stops, 6, "drains to measure");
DEFINE_uint64(seed, 1, "seed of the load");

int main(int argc, char** argv)
{
    using namespace bamboohoist;
    using namespace bamboohoist::testing;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    fleet started;
    for (const char* node : {"n1", "n2", "n3", "n4"})
    {
        started.add_node(node, "lagos", node);
        started.add_backend("ledger", node);
        started.add_backend("ledger", node);
    }
    started.wait_until_converged(4, 8);
    started.apply(make_manifest({"ledger"}, {{"lagos", {"n1", "n2", "n3", "n4"}}}));
    load_plan plan =
        make_load_plan(started.callers(), "/ledger", 300, 5.0 + 4.0 * FLAGS_stops + 8.0);
    load_kind& kind = plan.kinds_.front();
    kind.name_ = "post";
    kind.method_ = "POST";
    kind.body_ = "{n}";
    background_load load(plan, FLAGS_seed);
    const system_clock clock;
    std::vector<double> last_work_s;
    for (int i = 0; i < FLAGS_stops; ++i)
    {
        const std::string target = started.backends()[static_cast<std::size_t>(i) % 8].target_;
        nlohmann::json order{{"target", target}, {"who", "measure"}, {"why", "drain"}};
        const std::int64_t ordered_ms = clock.wall_ms();
        json_call(started.node("n1").operators_, "POST", "/v1/drain", order);
        wait_for_duration(std::chrono::seconds(3));
        const nlohmann::json calls = started.backend_calls(target);
        last_work_s.push_back(
            static_cast<double>(calls["last_start_ms"].get<std::int64_t>() - ordered_ms) / 1000.0);
        order["resume"] = true;
        json_call(started.node("n1").operators_, "POST", "/v1/drain", order);
        wait_for_duration(std::chrono::seconds(1));
    }
    started.node("n4").process_->signal(SIGTERM);
    const bool ended = started.node("n4").process_->wait_exit(std::chrono::seconds(20)) == 0;
    const load_result result = load.finish();
    std::uint64_t cut = 0;
    for (const auto& [end, count] : result.outcomes_)
    {
        cut += end == load_outcome::complete ? 0 : count;
    }
    std::ranges::sort(last_work_s);
    const nlohmann::ordered_json line{
        {"measure", "drain"},
        {"seed", FLAGS_seed},
        {"last_new_work_s", last_work_s},
        {"target_s", 2.0},
        {"requests", result.latencies_by_kind_.at(kind.name_).count()},
        {"cut", cut},
        {"node_ended", ended},
        {"errors", result.errors_}};
    std::cout << line.dump() << std::endl;
    return last_work_s.back() <= 2.0 && cut == 0 && ended ? 0 : 1;
}
