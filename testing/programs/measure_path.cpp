/// Measures what the path adds to a request: the same open-loop load straight to the backend
/// servers and through the fleet, in turns. The last line is one JSON object.

#include "cli/load_report.hpp"
#include "harness/fleet.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_double(seconds, 4.0, "length of one turn");
DEFINE_int32(turns, 4, "turns of each kind");
DEFINE_double(rate, 400.0, "requests a second");
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

struct side
{
    latency_samples latencies_;
    std::uint64_t whole_ = 0;
    std::uint64_t other_ = 0;

    void add(const load_result& result)
    {
        latencies_.merge(result.latencies_);
        for (const auto& [end, count] : result.outcomes_)
        {
            (end == load_outcome::complete ? whole_ : other_) += count;
        }
    }

    json figures() const
    {
        return {{"p50_ms", latencies_.percentile(0.5)},
                {"p99_ms", latencies_.percentile(0.99)},
                {"p99.9_ms", latencies_.percentile(0.999)},
                {"whole", whole_},
                {"other", other_}};
    }
};

double cpu_of(fleet& started)
{
    double cpu_s = 0.0;
    for (const node_process& node : started.nodes())
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
    fleet started;
    started.add_node("n1", "lagos", "ikeja");
    started.add_node("n2", "lagos", "ikeja");
    std::vector<std::string> servers;
    for (const char* node : {"n1", "n2", "n1", "n2"})
    {
        backend_process& item = started.add_backend("ledger", node, 16);
        started.set_backend_fault(item.target_, {{"service_ms", 2.0}, {"sigma", 0.05}});
        servers.push_back(item.address_);
    }
    started.wait_until_converged(2, 4);
    started.apply(make_manifest({"ledger"}, {{"lagos", {"ikeja"}}}));
    side direct;
    side through;
    double cpu_s = 0.0;
    for (int turn = 0; turn < FLAGS_turns; ++turn)
    {
        const std::uint64_t seed = FLAGS_seed + static_cast<std::uint64_t>(turn);
        direct.add(background_load(make_plan(servers), seed).finish());
        const double before = cpu_of(started);
        through.add(background_load(make_plan(started.callers()), seed).finish());
        cpu_s += cpu_of(started) - before;
    }
    const double sent = FLAGS_rate * (FLAGS_seconds + 0.5) * FLAGS_turns;
    const double added_p99 =
        through.latencies_.percentile(0.99) - direct.latencies_.percentile(0.99);
    const json line{
        {"measure", "path"},
        {"seed", FLAGS_seed},
        {"rate", FLAGS_rate},
        {"direct", direct.figures()},
        {"fleet", through.figures()},
        {"added_p50_ms", through.latencies_.percentile(0.5) - direct.latencies_.percentile(0.5)},
        {"added_p99_ms", added_p99},
        {"target_added_p99_ms", 2.5},
        {"cpu_s_per_1000_requests", cpu_s / sent * 1000.0}};
    std::cout << line.dump() << std::endl;
    return added_p99 <= 2.5 && through.other_ == 0 ? 0 : 1;
}
