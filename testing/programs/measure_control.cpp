/// Measures the cost of control work on a node: with real processes by the number of nodes, with
/// large synthetic manifests and member tables by their size. Each size has at least three points;
/// a linear fit and its residual are printed. The last line is one JSON object.

#include "config/chunks.hpp"
#include "config/manifest_json.hpp"
#include "core/random_source.hpp"
#include "harness/fleet.hpp"
#include "policy/fleet.hpp"
#include "policy/member_table.hpp"
#include "wire/gossip_codec.hpp"

#include <chrono>
#include <cmath>
#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(nodes, "8,32,96", "numbers of node processes, separated by commas");
DEFINE_double(quiet_s, 15.0, "seconds without load to measure for each number of nodes");
DEFINE_uint64(seed, 1, "seed printed with the results");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::ordered_json;

/// A least-squares line through measured points.
struct line_fit
{
    double base_ = 0.0;
    double slope_ = 0.0;
    double residual_ = 0.0; ///< Root mean square, in the unit of the values.
};

line_fit fit_line(const std::vector<std::pair<double, double>>& points)
{
    const auto count = static_cast<double>(points.size());
    double sx = 0.0;
    double sy = 0.0;
    double sxx = 0.0;
    double sxy = 0.0;
    for (const auto& [x, y] : points)
    {
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    line_fit line;
    line.slope_ = (count * sxy - sx * sy) / (count * sxx - sx * sx);
    line.base_ = (sy - line.slope_ * sx) / count;
    double squares = 0.0;
    for (const auto& [x, y] : points)
    {
        const double deviation = y - line.base_ - line.slope_ * x;
        squares += deviation * deviation;
    }
    line.residual_ = std::sqrt(squares / count);
    return line;
}

json fit_to_json(const std::vector<std::pair<double, double>>& points, double full_size)
{
    const line_fit line = fit_line(points);
    json summary{{"points", points},     {"base", line.base_},
                 {"slope", line.slope_}, {"residual", line.residual_},
                 {"at", full_size},      {"projected", line.base_ + line.slope_ * full_size}};
    return summary;
}

double elapsed_ms(const std::function<void()>& function)
{
    const system_clock clock;
    const instant start = clock.now();
    function();
    return to_ms(clock.now() - start);
}

/// Returns the median time of five runs.
double median_ms(const std::function<void()>& function)
{
    constexpr int runs = 5;
    std::vector<double> times;
    times.reserve(runs);
    for (int i = 0; i < runs; ++i)
    {
        times.push_back(elapsed_ms(function));
    }
    std::ranges::sort(times);
    return times[times.size() / 2];
}

nlohmann::json make_large_manifest(std::size_t services, std::size_t routes,
                                   std::size_t organisations)
{
    nlohmann::json manifest{{"regions",
                             {{{"name", "r1"}, {"domains", {"d1", "d2", "d3", "d4"}}},
                              {{"name", "r2"}, {"domains", {"d5", "d6", "d7", "d8"}}}}}};
    for (std::size_t i = 0; i < services; ++i)
    {
        manifest["services"].push_back({{"name", "service-" + std::to_string(i)}});
    }
    for (std::size_t i = 0; i < routes; ++i)
    {
        manifest["routes"].push_back({{"host", "host-" + std::to_string(i % 40) + ".example"},
                                      {"prefix", "/area-" + std::to_string(i / 40) + "/part"},
                                      {"service", "service-" + std::to_string(i % services)}});
    }
    for (std::size_t i = 0; i < organisations; ++i)
    {
        manifest["organisations"].push_back({{"name", "organisation-" + std::to_string(i)}});
    }
    return manifest;
}

member_record make_large_member(std::size_t index, std::size_t targets, std::size_t services)
{
    member_record record;
    record.node_ = "node-" + std::to_string(index);
    record.region_ = index % 2 == 0 ? "r1" : "r2";
    record.domain_ = "d" + std::to_string(index % 8 + 1);
    record.guard_address_ =
        "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7303";
    record.gossip_address_ = record.guard_address_;
    record.incarnation_ = 1;
    record.version_ = 1;
    for (std::size_t i = 0; i < targets; ++i)
    {
        target_record target;
        target.service_ = "service-" + std::to_string((index * targets + i) % services);
        target.id_ = target.service_ + "@" + record.guard_address_ + std::to_string(i);
        target.slots_ = 7;
        record.targets_.push_back(std::move(target));
    }
    return record;
}

/// Measures a configuration change and a route lookup with tables of several sizes.
json measure_configuration()
{
    std::vector<std::pair<double, double>> parse;
    std::vector<std::pair<double, double>> changed_bytes;
    std::vector<std::pair<double, double>> total_bytes;
    std::vector<std::pair<double, double>> lookup_us;
    for (const double fraction : {0.1, 0.3, 0.6, 1.0})
    {
        const auto routes = static_cast<std::size_t>(8800 * fraction);
        const auto organisations = static_cast<std::size_t>(34000 * fraction);
        nlohmann::json manifest = make_large_manifest(310, routes, organisations);
        const std::string text = one_element_per_line(manifest.dump());
        ref_ptr<const bamboohoist::manifest> parsed;
        parse.emplace_back(fraction, median_ms([&] { parsed = *parse_manifest(text); }));
        const chunked_text before = split_into_chunks(text);
        manifest["routes"][routes / 2]["prefix"] = "/changed";
        const chunked_text after = split_into_chunks(one_element_per_line(manifest.dump()));
        double changed = 0.0;
        double total = 0.0;
        for (const auto& [address, bytes] : after.chunks_)
        {
            changed += before.chunks_.contains(address) ? 0.0 : static_cast<double>(bytes.size());
            total += static_cast<double>(bytes.size());
        }
        changed_bytes.emplace_back(fraction, changed);
        total_bytes.emplace_back(fraction, total);
        const route_table table(*parsed);
        constexpr int lookups = 200'000;
        std::size_t found = 0;
        const double time_ms = median_ms([&] {
            for (int i = 0; i < lookups; ++i)
            {
                found += table.match("host-7.example", "/area-3/part/of/a/path", "organisation-9")
                             ? 1U
                             : 0U;
            }
        });
        lookup_us.emplace_back(fraction, found == 0 ? -1.0 : time_ms * 1000.0 / lookups);
    }
    return {{"parse_ms_by_share_of_full_size", fit_to_json(parse, 1.0)},
            {"bytes_moved_by_one_changed_route", fit_to_json(changed_bytes, 1.0)},
            {"bytes_of_all_chunks", fit_to_json(total_bytes, 1.0)},
            {"route_lookup_us", fit_to_json(lookup_us, 1.0)}};
}

/// Measures member tables of several sizes: rebuilding the snapshot for the traffic threads, the
/// fingerprint, and the size of one record.
json measure_directory()
{
    std::vector<std::pair<double, double>> rebuild;
    std::vector<std::pair<double, double>> fingerprint;
    std::vector<std::pair<double, double>> record_bytes;
    const auto content = *parse_manifest(make_large_manifest(310, 310, 10).dump());
    const ref_ptr<const active_revision> active(new active_revision(1, content));
    for (const std::size_t nodes : {66, 200, 400, 660})
    {
        member_table table(make_large_member(0, 15, 310), std::chrono::seconds(3),
                           std::chrono::minutes(30));
        for (std::size_t i = 1; i < nodes; ++i)
        {
            table.merge(make_large_member(i, 15, 310), instant{});
        }
        fleet_ptr built;
        const node_location location{"node-0", "r1", "d1"};
        const auto guard_of = [](const member_record& member) { return member.guard_address_; };
        const double time_ms = median_ms([&] {
            std::vector<const member_record*> members = table.peers();
            members.push_back(&table.self());
            built = build_fleet_snapshot(active, members, location, guard_of, built.get());
        });
        rebuild.emplace_back(nodes, time_ms);
        fingerprint.emplace_back(nodes, median_ms([&] { table.fingerprint(); }));
        record_bytes.emplace_back(nodes, static_cast<double>(encoded_size(table.self())));
    }
    return {{"rebuild_ms", fit_to_json(rebuild, 660.0)},
            {"fingerprint_ms", fit_to_json(fingerprint, 660.0)},
            {"bytes_of_one_record_with_15_targets", fit_to_json(record_bytes, 660.0)}};
}

std::vector<int> parse_numbers(std::string_view text)
{
    std::vector<int> parsed;
    std::istringstream stream{std::string(text)};
    std::string part;
    while (std::getline(stream, part, ','))
    {
        parsed.push_back(std::stoi(part));
    }
    return parsed;
}

/// The costs measured with one number of node processes, per node unless noted.
struct process_costs
{
    double cpu_share_ = 0.0; ///< Of one core, without load.
    double memory_mb_ = 0.0;
    double control_bytes_per_s_ = 0.0; ///< Sent and received, without load.
    double store_calls_per_s_ = 0.0;   ///< Sum of all nodes.
    double watches_per_minute_ = 0.0;  ///< Watch calls, sum of all nodes.
    double config_accepted_s_ = 0.0;   ///< From applying a manifest to its acceptance.
    double bytes_per_change_ = 0.0;    ///< Control and gossip bytes of a configuration change.
    double join_s_ = 0.0;              ///< Until every node sees all nodes.
    double death_known_s_ = 0.0;       ///< Until every node sees a killed node as dead.
};

double sum_of_metrics(fleet& test_fleet, const std::vector<const char*>& metrics)
{
    double sum = 0.0;
    for (const node_process& node : test_fleet.nodes())
    {
        for (const char* metric : metrics)
        {
            sum += static_cast<double>(test_fleet.metric(node.name_, metric));
        }
    }
    return sum;
}

process_costs measure_processes(int count)
{
    const std::vector<const char*> bytes{"gossip_sent_bytes_total", "gossip_received_bytes_total",
                                         "control_sent_bytes_total",
                                         "control_received_bytes_total"};
    const system_clock clock;
    process_costs costs;
    fleet test_fleet;
    for (int i = 0; i < count; ++i)
    {
        const int domain = i % 8;
        test_fleet.add_node("node-" + std::to_string(i), domain < 4 ? "r1" : "r2",
                            "d" + std::to_string(domain + 1));
    }
    const instant join_start = clock.now();
    test_fleet.wait_until_converged(static_cast<std::size_t>(count), 0);
    costs.join_s_ = std::chrono::duration<double>(clock.now() - join_start).count();
    nlohmann::json manifest = make_large_manifest(310, 8800, 34000);
    test_fleet.apply(manifest);
    wait_for_duration(std::chrono::seconds(5));

    const auto total_cpu_s = [&] {
        double sum = 0.0;
        for (const node_process& node : test_fleet.nodes())
        {
            sum += read_process_usage(node.process_->pid()).cpu_s_;
        }
        return sum;
    };
    const double nodes = count;
    const double bytes_before = sum_of_metrics(test_fleet, bytes);
    const nlohmann::json calls_before = test_fleet.store_calls();
    const double cpu_before = total_cpu_s();
    const instant quiet_start = clock.now();
    wait_for_duration(from_ms(FLAGS_quiet_s * 1000.0));
    const double quiet_s = std::chrono::duration<double>(clock.now() - quiet_start).count();
    costs.cpu_share_ = (total_cpu_s() - cpu_before) / quiet_s / nodes;
    costs.control_bytes_per_s_ =
        (sum_of_metrics(test_fleet, bytes) - bytes_before) / quiet_s / nodes;
    const nlohmann::json calls_after = test_fleet.store_calls();
    const auto count_new_calls = [&](const char* kind) {
        return calls_after[kind].get<double>() - calls_before[kind].get<double>();
    };
    costs.store_calls_per_s_ =
        (count_new_calls("reads") + count_new_calls("writes") + count_new_calls("waits")) / quiet_s;
    costs.watches_per_minute_ = count_new_calls("waits") / quiet_s * 60.0;
    for (const node_process& node : test_fleet.nodes())
    {
        costs.memory_mb_ +=
            static_cast<double>(read_process_usage(node.process_->pid()).resident_bytes_) / 1e6 /
            nodes;
    }

    manifest["routes"][17]["prefix"] = "/changed";
    const double change_before = sum_of_metrics(test_fleet, bytes);
    const instant start = clock.now();
    test_fleet.apply(manifest);
    costs.config_accepted_s_ = std::chrono::duration<double>(clock.now() - start).count();
    const double spread_s = 1.0;
    wait_for_duration(from_ms(spread_s * 1000.0));
    const double change_s = costs.config_accepted_s_ + spread_s;
    costs.bytes_per_change_ = (sum_of_metrics(test_fleet, bytes) - change_before) / nodes -
                              costs.control_bytes_per_s_ * change_s;

    const std::string killed_node = test_fleet.nodes().back().name_;
    test_fleet.node(killed_node).process_->kill();
    const instant kill_time = clock.now();
    for (int i = 0; i + 1 < count; ++i)
    {
        test_fleet.wait_status("node-" + std::to_string(i), [&](const nlohmann::json& status) {
            for (const auto& node : status["nodes"])
            {
                if (node["node"] == killed_node)
                {
                    return node["state"] == "dead";
                }
            }
            return true;
        });
    }
    costs.death_known_s_ = std::chrono::duration<double>(clock.now() - kill_time).count();
    return costs;
}

json measure_nodes()
{
    using field = double process_costs::*;
    constexpr std::pair<const char*, field> fields[] = {
        {"cpu_share_of_a_core", &process_costs::cpu_share_},
        {"memory_mb", &process_costs::memory_mb_},
        {"control_bytes_per_s", &process_costs::control_bytes_per_s_},
        {"store_calls_per_s_of_all", &process_costs::store_calls_per_s_},
        {"watches_per_minute_of_all", &process_costs::watches_per_minute_},
        {"config_accepted_s", &process_costs::config_accepted_s_},
        {"bytes_per_change", &process_costs::bytes_per_change_},
        {"join_s", &process_costs::join_s_},
        {"death_known_to_all_s", &process_costs::death_known_s_},
    };
    std::map<std::string, std::vector<std::pair<double, double>>> points;
    for (const int count : parse_numbers(FLAGS_nodes))
    {
        const process_costs costs = measure_processes(count);
        json summary{{"nodes", count}};
        for (const auto& [name, member] : fields)
        {
            points[name].emplace_back(count, costs.*member);
            summary[name] = costs.*member;
        }
        std::cerr << summary.dump() << '\n';
    }
    json result;
    for (const auto& [name, member] : fields)
    {
        result[name] = fit_to_json(points[name], 660.0);
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    json line{{"measure", "control"}, {"seed", FLAGS_seed}};
    line["configuration"] = measure_configuration();
    line["directory"] = measure_directory();
    std::cerr << line.dump(1) << '\n';
    line["nodes"] = measure_nodes();
    std::cout << line.dump() << std::endl;
    return 0;
}
