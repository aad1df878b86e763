/// Measures what a node spends for control: processes for the number of nodes, large synthetic
/// manifests and directories for the rest. At least three points for each size; the fit and its
/// residual are printed. The last line is one JSON object.

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

DEFINE_string(nodes, "8,32,96", "numbers of node processes");
DEFINE_double(quiet_s, 15.0, "seconds of quiet control work that are measured at each number");
DEFINE_uint64(seed, 1, "seed");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::ordered_json;

/// A straight line through measured points.
struct fit
{
    double base_ = 0.0;
    double slope_ = 0.0;
    double residual_ = 0.0; ///< Root mean square, in the unit of the values.
};

fit fit_line(const std::vector<std::pair<double, double>>& points)
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
    fit line;
    line.slope_ = (count * sxy - sx * sy) / (count * sxx - sx * sx);
    line.base_ = (sy - line.slope_ * sx) / count;
    double square = 0.0;
    for (const auto& [x, y] : points)
    {
        const double off = y - line.base_ - line.slope_ * x;
        square += off * off;
    }
    line.residual_ = std::sqrt(square / count);
    return line;
}

json fit_json(const std::vector<std::pair<double, double>>& points, double at)
{
    const fit line = fit_line(points);
    json shown{{"points", points},
               {"base", line.base_},
               {"slope", line.slope_},
               {"residual", line.residual_},
               {"at", at},
               {"projected", line.base_ + line.slope_ * at}};
    return shown;
}

double elapsed_ms(const std::function<void()>& work)
{
    const system_clock clock;
    const instant begin = clock.now();
    work();
    return to_ms(clock.now() - begin);
}

/// Median of five runs.
double median_ms(const std::function<void()>& work)
{
    constexpr int runs = 5;
    std::vector<double> times;
    times.reserve(runs);
    for (int i = 0; i < runs; ++i)
    {
        times.push_back(elapsed_ms(work));
    }
    std::ranges::sort(times);
    return times[times.size() / 2];
}

nlohmann::json large_manifest(std::size_t services, std::size_t routes, std::size_t organisations)
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

member_record large_member(std::size_t index, std::size_t targets, std::size_t services)
{
    member_record record;
    record.node_ = "node-" + std::to_string(index);
    record.region_ = index % 2 == 0 ? "r1" : "r2";
    record.domain_ = "d" + std::to_string(index % 8 + 1);
    record.peers_ =
        "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7303";
    record.gossip_ = record.peers_;
    record.incarnation_ = 1;
    record.version_ = 1;
    for (std::size_t i = 0; i < targets; ++i)
    {
        target_record target;
        target.service_ = "service-" + std::to_string((index * targets + i) % services);
        target.id_ = target.service_ + "@" + record.peers_ + std::to_string(i);
        target.slots_ = 7;
        record.targets_.push_back(std::move(target));
    }
    return record;
}

/// Costs of one change of configuration and of a look-up, at several sizes of the tables.
json measure_configuration()
{
    std::vector<std::pair<double, double>> parse;
    std::vector<std::pair<double, double>> changed_bytes;
    std::vector<std::pair<double, double>> whole_bytes;
    std::vector<std::pair<double, double>> lookup_us;
    for (const double share : {0.1, 0.3, 0.6, 1.0})
    {
        const auto routes = static_cast<std::size_t>(8800 * share);
        const auto organisations = static_cast<std::size_t>(34000 * share);
        nlohmann::json manifest = large_manifest(310, routes, organisations);
        const std::string text = one_element_per_line(manifest.dump());
        ref_ptr<const bamboohoist::manifest> parsed;
        parse.emplace_back(share, median_ms([&] { parsed = *parse_manifest(text); }));
        const chunked_text before = split_into_chunks(text);
        manifest["routes"][routes / 2]["prefix"] = "/changed";
        const chunked_text after = split_into_chunks(one_element_per_line(manifest.dump()));
        double moved = 0.0;
        double whole = 0.0;
        for (const auto& [address, bytes] : after.chunks_)
        {
            moved += before.chunks_.contains(address) ? 0.0 : static_cast<double>(bytes.size());
            whole += static_cast<double>(bytes.size());
        }
        changed_bytes.emplace_back(share, moved);
        whole_bytes.emplace_back(share, whole);
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
        lookup_us.emplace_back(share, found == 0 ? -1.0 : time_ms * 1000.0 / lookups);
    }
    return {{"parse_ms_by_share_of_full_size", fit_json(parse, 1.0)},
            {"bytes_moved_by_one_changed_route", fit_json(changed_bytes, 1.0)},
            {"bytes_of_all_chunks", fit_json(whole_bytes, 1.0)},
            {"route_lookup_us", fit_json(lookup_us, 1.0)}};
}

/// Costs of a full member table: one change of it until traffic can use it.
json measure_directory()
{
    std::vector<std::pair<double, double>> rebuild;
    std::vector<std::pair<double, double>> fingerprint;
    std::vector<std::pair<double, double>> rumour_bytes;
    const auto content = *parse_manifest(large_manifest(310, 310, 10).dump());
    const ref_ptr<const active_revision> active(new active_revision(1, content));
    for (const std::size_t nodes : {66, 200, 400, 660})
    {
        member_table table(large_member(0, 15, 310), std::chrono::seconds(3),
                           std::chrono::minutes(30));
        for (std::size_t i = 1; i < nodes; ++i)
        {
            table.merge(large_member(i, 15, 310), instant{});
        }
        fleet_ptr built;
        const node_location place{"node-0", "r1", "d1"};
        const auto guard_of = [](const member_record& member) { return member.peers_; };
        const double time_ms = median_ms([&] {
            std::vector<const member_record*> members = table.peers();
            members.push_back(&table.self());
            built = build_fleet_snapshot(active, members, place, guard_of, built.get());
        });
        rebuild.emplace_back(nodes, time_ms);
        fingerprint.emplace_back(nodes, median_ms([&] { table.fingerprint(); }));
        rumour_bytes.emplace_back(nodes, static_cast<double>(encoded_size(table.self())));
    }
    return {{"rebuild_ms", fit_json(rebuild, 660.0)},
            {"fingerprint_ms", fit_json(fingerprint, 660.0)},
            {"bytes_of_one_record_with_15_targets", fit_json(rumour_bytes, 660.0)}};
}

std::vector<int> numbers(std::string_view text)
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

/// What one number of node processes showed, per node.
struct process_point
{
    double cpu_share_ = 0.0; ///< Of one core, at rest.
    double memory_mb_ = 0.0;
    double gossip_bytes_s_ = 0.0; ///< Sent and received, at rest.
    double store_calls_s_ = 0.0;  ///< Of all nodes.
    double waits_ = 0.0;          ///< Watches waiting, of all nodes, a minute.
    double config_s_ = 0.0;       ///< From apply to accepted.
    double config_bytes_ = 0.0;   ///< Control and gossip bytes of one change, per node.
    double join_s_ = 0.0;         ///< Until all see all.
    double death_s_ = 0.0;        ///< Until all know of one death.
};

double total(fleet& started, const std::vector<const char*>& metrics)
{
    double sum = 0.0;
    for (const node_process& node : started.nodes())
    {
        for (const char* metric : metrics)
        {
            sum += static_cast<double>(started.metric(node.name_, metric));
        }
    }
    return sum;
}

process_point measure_processes(int count)
{
    const std::vector<const char*> bytes{"gossip_sent_bytes_total", "gossip_received_bytes_total",
                                         "control_sent_bytes_total",
                                         "control_received_bytes_total"};
    const system_clock clock;
    process_point point;
    fleet started;
    for (int i = 0; i < count; ++i)
    {
        const int domain = i % 8;
        started.add_node("node-" + std::to_string(i), domain < 4 ? "r1" : "r2",
                         "d" + std::to_string(domain + 1));
    }
    const instant joined = clock.now();
    started.wait_until_converged(static_cast<std::size_t>(count), 0);
    point.join_s_ = std::chrono::duration<double>(clock.now() - joined).count();
    nlohmann::json manifest = large_manifest(310, 8800, 34000);
    started.apply(manifest);
    wait_for_duration(std::chrono::seconds(5));

    const auto cpu = [&] {
        double sum = 0.0;
        for (const node_process& node : started.nodes())
        {
            sum += read_process_usage(node.process_->pid()).cpu_s_;
        }
        return sum;
    };
    const double nodes = count;
    const double bytes_before = total(started, bytes);
    const nlohmann::json calls_before = started.store_calls();
    const double cpu_before = cpu();
    const instant quiet = clock.now();
    wait_for_duration(from_ms(FLAGS_quiet_s * 1000.0));
    const double quiet_s = std::chrono::duration<double>(clock.now() - quiet).count();
    point.cpu_share_ = (cpu() - cpu_before) / quiet_s / nodes;
    point.gossip_bytes_s_ = (total(started, bytes) - bytes_before) / quiet_s / nodes;
    const nlohmann::json calls_after = started.store_calls();
    const auto grown = [&](const char* kind) {
        return calls_after[kind].get<double>() - calls_before[kind].get<double>();
    };
    point.store_calls_s_ = (grown("reads") + grown("writes") + grown("waits")) / quiet_s;
    point.waits_ = grown("waits") / quiet_s * 60.0;
    for (const node_process& node : started.nodes())
    {
        point.memory_mb_ +=
            static_cast<double>(read_process_usage(node.process_->pid()).resident_bytes_) / 1e6 /
            nodes;
    }

    manifest["routes"][17]["prefix"] = "/changed";
    const double change_before = total(started, bytes);
    const instant begin = clock.now();
    started.apply(manifest);
    point.config_s_ = std::chrono::duration<double>(clock.now() - begin).count();
    const double spread_s = 1.0;
    wait_for_duration(from_ms(spread_s * 1000.0));
    const double change_s = point.config_s_ + spread_s;
    point.config_bytes_ =
        (total(started, bytes) - change_before) / nodes - point.gossip_bytes_s_ * change_s;

    const std::string victim = started.nodes().back().name_;
    started.node(victim).process_->kill();
    const instant killed = clock.now();
    for (int i = 0; i + 1 < count; ++i)
    {
        started.wait_status("node-" + std::to_string(i), [&](const nlohmann::json& status) {
            for (const auto& node : status["nodes"])
            {
                if (node["node"] == victim)
                {
                    return node["state"] == "dead";
                }
            }
            return true;
        });
    }
    point.death_s_ = std::chrono::duration<double>(clock.now() - killed).count();
    return point;
}

json measure_nodes()
{
    using field = double process_point::*;
    constexpr std::pair<const char*, field> fields[] = {
        {"cpu_share_of_a_core", &process_point::cpu_share_},
        {"memory_mb", &process_point::memory_mb_},
        {"control_bytes_per_s", &process_point::gossip_bytes_s_},
        {"store_calls_per_s_of_all", &process_point::store_calls_s_},
        {"watches_per_minute_of_all", &process_point::waits_},
        {"config_accepted_s", &process_point::config_s_},
        {"bytes_per_change", &process_point::config_bytes_},
        {"join_s", &process_point::join_s_},
        {"death_known_to_all_s", &process_point::death_s_},
    };
    std::map<std::string, std::vector<std::pair<double, double>>> points;
    for (const int count : numbers(FLAGS_nodes))
    {
        const process_point point = measure_processes(count);
        json shown{{"nodes", count}};
        for (const auto& [name, member] : fields)
        {
            points[name].emplace_back(count, point.*member);
            shown[name] = point.*member;
        }
        std::cerr << shown.dump() << '\n';
    }
    json result;
    for (const auto& [name, member] : fields)
    {
        result[name] = fit_json(points[name], 660.0);
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
