/// Measures overload: goodput at 1, 2 and 10 times the capacity, with and without callers that
/// resend immediately, retries per request and fairness between organisations. The last line is
/// one JSON object.

#include "cli/load_report.hpp"
#include "harness/fleet.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_double(seconds, 4.0, "duration of each load in seconds");
DEFINE_double(service_ms, 20.0,
              "time in ms that a request occupies a slot; determines the capacity");
DEFINE_uint32(generators, 3, "sending threads; one thread cannot generate ten times the capacity");
DEFINE_uint64(seed, 1, "seed of the load");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::ordered_json;

constexpr std::uint32_t slots = 3;
constexpr int backends = 4;

double capacity_per_s()
{
    return backends * slots * 1000.0 / FLAGS_service_ms;
}

load_plan make_plan(const std::vector<std::string>& callers, double load_factor,
                    std::uint32_t resends)
{
    load_plan plan;
    plan.callers_ = callers;
    // 1x is 90% of the capacity of the slots, so that queues stay short.
    plan.rate_ = 0.9 * capacity_per_s() * load_factor;
    plan.seconds_ = FLAGS_seconds;
    plan.resends_ = resends;
    plan.connections_ = 2000;
    plan.generators_ = FLAGS_generators;
    const auto add = [&](const char* name, const char* organisation, double weight) {
        load_kind& kind = plan.kinds_.emplace_back();
        kind.name_ = name;
        kind.share_ = weight;
        kind.path_ = "/orders/{n}";
        kind.organisations_ = {organisation};
        kind.timeout_ms_ = 500;
    };
    // One organisation sends the excess load; the other two send as much as at 1x.
    add("flood", "flood", load_factor - 0.4);
    add("calm", "calm-a", 0.2);
    add("calm", "calm-b", 0.2);
    return plan;
}

std::uint64_t complete_requests_of(const load_result& result, const char* organisation)
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
    fleet test_fleet;
    test_fleet.add_node("n1", "baires", "baires-1");
    test_fleet.add_node("n2", "baires", "baires-2");
    for (int i = 0; i < backends; ++i)
    {
        backend_process& backend =
            test_fleet.add_backend("orders", i % 2 == 0 ? "n1" : "n2", slots);
        test_fleet.set_backend_fault(backend.target_,
                                     {{"service_ms", FLAGS_service_ms}, {"sigma", 0.1}});
    }
    test_fleet.wait_until_converged(2, backends);
    nlohmann::json manifest = make_manifest({"orders"}, {{"baires", {"baires-1", "baires-2"}}});
    manifest["services"][0]["health"] = "false-ejections";
    for (const char* name : {"flood", "calm-a", "calm-b"})
    {
        manifest["organisations"].push_back({{"name", name}});
    }
    test_fleet.apply(manifest);

    json runs = json::array();
    double baseline_goodput = 0.0;
    bool passed = true;
    for (const std::uint32_t resends : {0U, 3U})
    {
        for (const double load_factor : {1.0, 2.0, 10.0})
        {
            const auto retries = [&] {
                return test_fleet.metric("n1", "retries_total") +
                       test_fleet.metric("n2", "retries_total");
            };
            const std::uint64_t retries_before = retries();
            const load_plan plan = make_plan(test_fleet.callers(), load_factor, resends);
            const load_result result = background_load(plan, FLAGS_seed).finish();
            const auto found = result.outcomes_.find(load_outcome::complete);
            const double complete =
                found == result.outcomes_.end() ? 0.0 : static_cast<double>(found->second);
            const double goodput = complete / FLAGS_seconds;
            baseline_goodput = baseline_goodput == 0.0 ? goodput : baseline_goodput;
            const double calm_sent = plan.rate_ * FLAGS_seconds * 0.4 / load_factor;
            const double calm_complete = static_cast<double>(
                complete_requests_of(result, "calm-a") + complete_requests_of(result, "calm-b"));
            passed = passed && goodput >= 0.9 * baseline_goodput;
            runs.push_back(
                {{"times", load_factor},
                 {"resends", resends},
                 {"goodput_per_s", goodput},
                 {"relative_goodput", goodput / baseline_goodput},
                 {"calm_whole_share", calm_complete / calm_sent},
                 {"retries_per_request", static_cast<double>(retries() - retries_before) /
                                             static_cast<double>(result.sends_)},
                 {"errors", result.errors_}});
            std::cerr << runs.back().dump() << '\n';
            wait_for_duration(std::chrono::seconds(3));
        }
    }
    const json line{{"measure", "overload"},
                    {"seed", FLAGS_seed},
                    {"capacity_per_s", capacity_per_s()},
                    {"target_relative_goodput", 0.9},
                    {"runs", runs}};
    std::cout << line.dump() << std::endl;
    return passed ? 0 : 1;
}
