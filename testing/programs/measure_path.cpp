/// Measures the latency that the fleet adds to a request: sends the same open-loop load in turns
/// directly to the backend servers and through the fleet. The last line is one JSON object.

#include "cli/load_report.hpp"
#include "harness/fleet.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_double(seconds, 4.0, "duration of each turn in seconds");
DEFINE_int32(turns, 4, "number of turns of each kind");
DEFINE_double(rate, 400.0, "requests per second");
DEFINE_uint64(seed, 1, "seed of the load");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::ordered_json;

load_plan make_plan(const std::vector<std::string>& servers)
{
    load_plan plan = make_load_plan(servers, "/ledger/{n}", FLAGS_rate, FLAGS_seconds);
    plan.warm_up_s_ = 0.5;
    return plan;
}

struct path_result
{
    latency_samples latencies_;
    std::uint64_t complete_ = 0;
    std::uint64_t other_ = 0;

    void add(const load_result& result)
    {
        latencies_.merge(result.latencies_);
        for (const auto& [outcome_kind, count] : result.outcomes_)
        {
            (outcome_kind == load_outcome::complete ? complete_ : other_) += count;
        }
    }

    json to_json() const
    {
        return {{"p50_ms", latencies_.percentile(0.5)},
                {"p99_ms", latencies_.percentile(0.99)},
                {"p99.9_ms", latencies_.percentile(0.999)},
                {"whole", complete_},
                {"other", other_}};
    }
};

double total_cpu_s(fleet& test_fleet)
{
    double cpu_s = 0.0;
    for (const node_process& node : test_fleet.nodes())
    {
        cpu_s += read_process_usage(node.process_->pid()).cpu_s_;
    }
    return cpu_s;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    fleet test_fleet;
    test_fleet.add_node("n1", "lagos", "ikeja");
    test_fleet.add_node("n2", "lagos", "ikeja");
    std::vector<std::string> servers;
    for (const char* node : {"n1", "n2", "n1", "n2"})
    {
        backend_process& backend = test_fleet.add_backend("ledger", node, 16);
        test_fleet.set_backend_fault(backend.target_, {{"service_ms", 2.0}, {"sigma", 0.05}});
        servers.push_back(backend.address_);
    }
    test_fleet.wait_until_converged(2, 4);
    test_fleet.apply(make_manifest({"ledger"}, {{"lagos", {"ikeja"}}}));
    path_result direct;
    path_result via_fleet;
    double cpu_s = 0.0;
    for (int turn = 0; turn < FLAGS_turns; ++turn)
    {
        const std::uint64_t seed = FLAGS_seed + static_cast<std::uint64_t>(turn);
        direct.add(background_load(make_plan(servers), seed).finish());
        const double before = total_cpu_s(test_fleet);
        via_fleet.add(background_load(make_plan(test_fleet.callers()), seed).finish());
        cpu_s += total_cpu_s(test_fleet) - before;
    }
    const double sent = FLAGS_rate * (FLAGS_seconds + 0.5) * FLAGS_turns;
    const double added_p99 =
        via_fleet.latencies_.percentile(0.99) - direct.latencies_.percentile(0.99);
    const json line{
        {"measure", "path"},
        {"seed", FLAGS_seed},
        {"rate", FLAGS_rate},
        {"direct", direct.to_json()},
        {"fleet", via_fleet.to_json()},
        {"added_p50_ms", via_fleet.latencies_.percentile(0.5) - direct.latencies_.percentile(0.5)},
        {"added_p99_ms", added_p99},
        {"target_added_p99_ms", 2.5},
        {"cpu_s_per_1000_requests", cpu_s / sent * 1000.0}};
    std::cout << line.dump() << std::endl;
    return added_p99 <= 2.5 && via_fleet.other_ == 0 ? 0 : 1;
}
