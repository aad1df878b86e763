/// Measures health decisions: detection times and false ejections compared with two baselines, in a
/// model of one service with a simulated clock, and detection times with real processes. The last
/// line is one JSON object.

#include "harness/fleet.hpp"
#include "model/service_model.hpp"

#include <algorithm>
#include <csignal>
#include <curl/curl.h>
#include <future>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the model and the load");
DEFINE_int32(runs, 30, "number of model runs for each failure and policy");
DEFINE_double(
    hours, 400.0,
    "simulated hours of a healthy service (eight targets) for the policy that has a limit for "
    "false ejections");
DEFINE_bool(processes, true, "measure detection with real processes as well");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::ordered_json;

/// Returns the model of the service that a user runs with this health goal.
model_options make_model_options(health_goal goal)
{
    model_options options;
    options.health_goal_ = goal;
    options.slots_ = goal == health_goal::detection_time ? 7 : 3;
    options.rate_ = goal == health_goal::detection_time ? 200.0 : 60.0;
    return options;
}

constexpr std::array<std::string_view, 3> policy_names{"no_ejection", "five_errors", "evidence"};

json measure_detection(health_goal goal, ejection_policy policy, failure_kind failure)
{
    std::vector<double> times;
    std::uint64_t missed = 0;
    std::uint64_t harmed = 0;
    std::uint64_t floor_broken = 0;
    for (int run = 0; run < FLAGS_runs; ++run)
    {
        model_options options = make_model_options(goal);
        options.policy_ = policy;
        options.failure_ = failure;
        options.seed_ = FLAGS_seed * 1000 + static_cast<std::uint64_t>(run);
        const model_result result = service_model(options).run();
        harmed += result.harmed_;
        floor_broken += result.floor_broken_;
        if (result.detection_s_ < 0.0)
        {
            ++missed;
        }
        else
        {
            times.push_back(result.detection_s_);
        }
    }
    std::ranges::sort(times);
    json line{{"missed", missed},
              {"harmed_per_run", harmed / static_cast<std::uint64_t>(FLAGS_runs)}};
    if (!times.empty())
    {
        line["median_s"] = times[times.size() / 2];
        line["worst_s"] = times.back();
    }
    line["floor_broken"] = floor_broken;
    return line;
}

json measure_false_ejections(health_goal goal, ejection_policy policy)
{
    constexpr int parts = 6;
    // The other policies and goals have no limit for false ejections and are only simulated for
    // comparison.
    constexpr double comparison_fraction = 0.05;
    const bool has_limit =
        goal == health_goal::false_ejections && policy == ejection_policy::evidence;
    const double service_hours = has_limit ? FLAGS_hours : FLAGS_hours * comparison_fraction;
    std::vector<std::future<model_result>> running;
    for (int part = 0; part < parts; ++part)
    {
        model_options options = make_model_options(goal);
        options.policy_ = policy;
        options.seconds_ = service_hours * 3600.0 / parts;
        options.seed_ = FLAGS_seed * 7919 + static_cast<std::uint64_t>(part);
        running.push_back(
            std::async(std::launch::async, [options] { return service_model(options).run(); }));
    }
    double hours = 0.0;
    std::uint64_t ejections = 0;
    std::uint64_t floor_broken = 0;
    for (auto& part : running)
    {
        const model_result result = part.get();
        hours += result.target_hours_;
        ejections += result.false_ejections_;
        floor_broken += result.floor_broken_;
    }
    return {{"target_hours", hours},
            {"false_ejections", ejections},
            {"per_1000_target_hours", static_cast<double>(ejections) / hours * 1000.0},
            {"floor_broken", floor_broken}};
}

/// Returns the seconds from the onset of a failure to the start of the last request before the
/// ejection, or -1 when the target was not ejected.
double measure_detection_with_processes(const char* health, std::uint32_t slots, const json& fault,
                                        std::uint64_t seed)
{
    fleet test_fleet;
    test_fleet.add_node("n1", "lagos", "ikeja");
    test_fleet.add_node("n2", "lagos", "lekki");
    for (int i = 0; i < 8; ++i)
    {
        backend_process& backend =
            test_fleet.add_backend("ledger", i % 2 == 0 ? "n1" : "n2", slots);
        test_fleet.set_backend_fault(backend.target_, {{"service_ms", 10.0}, {"sigma", 0.5}});
    }
    test_fleet.wait_until_converged(2, 8);
    nlohmann::json manifest = make_manifest({"ledger"}, {{"lagos", {"ikeja", "lekki"}}});
    manifest["services"][0]["health"] = health;
    test_fleet.apply(manifest);
    load_plan plan = make_load_plan(test_fleet.callers(), "/ledger/{n}", 200, 6.0);
    background_load load(plan, seed);
    wait_for_duration(std::chrono::seconds(2));
    const std::string target = test_fleet.backends()[seed % 8].target_;
    const std::string node = test_fleet.backends()[seed % 8].node_;
    const system_clock clock;
    const std::int64_t onset_ms = clock.wall_ms();
    test_fleet.set_backend_fault(target, fault);
    const bool ejected = test_fleet.node(node).process_->wait_line(target + ": target ejected",
                                                                   std::chrono::seconds(4));
    // The ejection lasts two seconds; requests already sent to the target arrive within one.
    wait_for_duration(std::chrono::seconds(1));
    const nlohmann::json calls = test_fleet.backend_calls(target);
    load.finish();
    if (!ejected)
    {
        return -1.0;
    }
    const double last_ms = static_cast<double>(calls["last_start_ms"].get<std::int64_t>());
    return std::max(0.0, (last_ms - static_cast<double>(onset_ms)) / 1000.0);
}

json measure_processes(const char* health, std::uint32_t slots)
{
    const std::pair<const char*, json> faults[] = {
        {"stall", {{"stall_share", 1.0}}},
        {"slow_10x", {{"factor", 10.0}}},
        {"fast_errors", {{"error_share", 1.0}}},
    };
    json line;
    for (const auto& [name, fault] : faults)
    {
        std::vector<double> times;
        for (std::uint64_t run = 0; run < 3; ++run)
        {
            times.push_back(
                measure_detection_with_processes(health, slots, fault, FLAGS_seed + run));
        }
        line[name] = times;
    }
    return line;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    json line{{"measure", "gray"}, {"seed", FLAGS_seed}};
    double worst_stall_s = 0.0;
    double false_ejection_rate = 0.0;
    std::uint64_t floor_broken = 0;
    constexpr std::array<std::string_view, 2> goal_names{"detection_time", "false_ejections"};
    for (const health_goal goal : {health_goal::detection_time, health_goal::false_ejections})
    {
        json& goal_results = line[std::string(goal_names[static_cast<std::size_t>(goal)])];
        for (const ejection_policy policy :
             {ejection_policy::none, ejection_policy::five_errors, ejection_policy::evidence})
        {
            json& policy_results =
                goal_results[std::string(policy_names[static_cast<std::size_t>(policy)])];
            for (const failure_kind failure :
                 {failure_kind::stall, failure_kind::slow_3x, failure_kind::slow_10x,
                  failure_kind::errors_30_percent, failure_kind::fast_errors,
                  failure_kind::flapping, failure_kind::all_slow_5x})
            {
                const json detection = measure_detection(goal, policy, failure);
                policy_results[std::string(to_string(failure))] = detection;
                floor_broken += detection["floor_broken"].get<std::uint64_t>();
            }
            const json healthy = measure_false_ejections(goal, policy);
            policy_results["healthy"] = healthy;
            floor_broken += healthy["floor_broken"].get<std::uint64_t>();
            std::cerr << goal_names[static_cast<std::size_t>(goal)] << ' '
                      << policy_names[static_cast<std::size_t>(policy)] << ' '
                      << policy_results.dump() << '\n';
        }
        const json& evidence = goal_results["evidence"];
        if (goal == health_goal::detection_time)
        {
            const bool all_seen = evidence["stall"]["missed"] == 0;
            worst_stall_s = all_seen ? evidence["stall"]["worst_s"].get<double>() : 1e9;
        }
        else
        {
            false_ejection_rate = evidence["healthy"]["per_1000_target_hours"];
        }
    }
    if (FLAGS_processes)
    {
        line["processes_last_new_work_s"] = {
            {"detection_time", measure_processes("detection-time", 7)},
            {"false_ejections", measure_processes("false-ejections", 3)}};
    }
    line["worst_stall_s"] = worst_stall_s;
    line["target_worst_stall_s"] = 2.0;
    line["ferraro_false_per_1000_target_hours"] = false_ejection_rate;
    line["target_false_per_1000_target_hours"] = 1.0;
    line["floor_broken"] = floor_broken;
    std::cout << line.dump() << std::endl;
    return worst_stall_s <= 2.0 && false_ejection_rate < 1.0 && floor_broken == 0 ? 0 : 1;
}
