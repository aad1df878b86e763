/// Measures overload: goodput at 1, 2 and 10 times the capacity, with and without callers who send
/// again at once, retries per request and fairness between organisations. The last line is one
/// JSON object.

#include "cli/load_report.hpp"
#include "harness/fleet.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_double(seconds, 4.0, "length of one load");
DEFINE_double(service_ms, 20.0, "time of a request in its slot, which sets the capacity");
DEFINE_uint32(generators, 3, "threads that send; one can't send what ten times the capacity asks");
DEFINE_uint64(seed, 1, "seed of the load");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::ordered_json;

constexpr std::uint32_t slots = 3;
constexpr int backends = 4;

double capacity()
{
    return backends * slots * 1000.0 / FLAGS_service_ms;
}

load_plan make_plan(const std::vector<std::string>& callers, double times, std::uint32_t resends)
{
    load_plan plan;
    plan.callers_ = callers;
    // 1x is 90% of what the slots can do, so that queues stay short.
    plan.rate_ = 0.9 * capacity() * times;
    plan.seconds_ = FLAGS_seconds;
    plan.resends_ = resends;
    plan.connections_ = 2000;
    plan.generators_ = FLAGS_generators;
    const auto add = [&](const char* name, const char* organisation, double share) {
        load_kind& kind = plan.kinds_.emplace_back();
        kind.name_ = name;
        kind.share_ = share;
        kind.path_ = "/orders/{n}";
        kind.organisations_ = {organisation};
        kind.timeout_ms_ = 500;
    };
    // One organisation floods; two behave as at 1x.
    add("flood", "flood", times - 0.4);
    add("calm", "calm-a", 0.2);
    add("calm", "calm-b", 0.2);
    return plan;
}

std::uint64_t whole_of(const load_result& result, const char* organisation)
{
    const auto found = result.complete_by_organisation_.find(organisation);
    return found == result.complete_by_organisation_.end() ? 0 : found->second;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    fleet started;
    started.add_node("n1", "baires", "baires-1");
    started.add_node("n2", "baires", "baires-2");
    for (int i = 0; i < backends; ++i)
    {
        backend_process& item = started.add_backend("orders", i % 2 == 0 ? "n1" : "n2", slots);
        started.set_backend_fault(item.target_, {{"service_ms", FLAGS_service_ms}, {"sigma", 0.1}});
    }
    started.wait_until_converged(2, backends);
    nlohmann::json manifest = make_manifest({"orders"}, {{"baires", {"baires-1", "baires-2"}}});
    manifest["services"][0]["health"] = "false-ejections";
    for (const char* name : {"flood", "calm-a", "calm-b"})
    {
        manifest["organisations"].push_back({{"name", name}});
    }
    started.apply(manifest);

    json runs = json::array();
    double at_one = 0.0;
    bool good = true;
    for (const std::uint32_t resends : {0U, 3U})
    {
        for (const double times : {1.0, 2.0, 10.0})
        {
            const auto retries = [&] {
                return started.metric("n1", "retries_total") +
                       started.metric("n2", "retries_total");
            };
            const std::uint64_t retries_before = retries();
            const load_plan plan = make_plan(started.callers(), times, resends);
            const load_result result = background_load(plan, FLAGS_seed).finish();
            const auto found = result.outcomes_.find(load_outcome::complete);
            const double complete =
                found == result.outcomes_.end() ? 0.0 : static_cast<double>(found->second);
            const double goodput = complete / FLAGS_seconds;
            at_one = at_one == 0.0 ? goodput : at_one;
            const double calm_sent = plan.rate_ * FLAGS_seconds * 0.4 / times;
            const double calm_whole =
                static_cast<double>(whole_of(result, "calm-a") + whole_of(result, "calm-b"));
            good = good && goodput >= 0.9 * at_one;
            runs.push_back(
                {{"times", times},
                 {"resends", resends},
                 {"goodput_per_s", goodput},
                 {"relative_goodput", goodput / at_one},
                 {"calm_whole_share", calm_whole / calm_sent},
                 {"retries_per_request", static_cast<double>(retries() - retries_before) /
                                             static_cast<double>(result.sends_)},
                 {"errors", result.errors_}});
            std::cerr << runs.back().dump() << '\n';
            wait_for_duration(std::chrono::seconds(3));
        }
    }
    const json line{{"measure", "overload"},
                    {"seed", FLAGS_seed},
                    {"capacity_per_s", capacity()},
                    {"target_relative_goodput", 0.9},
                    {"runs", runs}};
    std::cout << line.dump() << std::endl;
    return good ? 0 : 1;
}
