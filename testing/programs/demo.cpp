/// Demonstrates the proxy on loopback: a store, four nodes in two regions and backend servers of
/// both deployments. Sends a few hundred requests, kills one backend server and stalls another
/// meanwhile.

#include "cli/load_report.hpp"
#include "core/error.hpp"
#include "harness/fleet.hpp"

#include <csignal>
#include <curl/curl.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>

DEFINE_bool(keep, false, "keep the fleet running until interrupted");
DEFINE_double(seconds, 4.0, "duration of the load in seconds");
DEFINE_double(rate, 150.0, "requests per second");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

struct node_placement
{
    const char* node_;
    const char* region_;
    const char* domain_;
};

constexpr node_placement placements[] = {
    {"north-1", "north", "north-a"},
    {"north-2", "north", "north-b"},
    {"south-1", "south", "south-a"},
    {"south-2", "south", "south-b"},
};

struct demo_service
{
    const char* name_;
    std::uint32_t slots_;
};

constexpr demo_service services[] = {
    {"ledger-view", 7}, {"disbursement", 7}, {"pledge-book", 7},
    {"certs", 3},       {"cotiza", 3},       {"ordenes", 3},
};

std::string read_example(const std::string& name)
{
    std::ifstream file(std::string(BAMBOOHOIST_SOURCE_FOLDER) + "/examples/demo/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

void start_fleet(fleet& demo_fleet)
{
    for (const node_placement& placement : placements)
    {
        demo_fleet.add_node(placement.node_, placement.region_, placement.domain_);
    }
    for (const node_placement& placement : placements)
    {
        for (const demo_service& service : services)
        {
            demo_fleet.add_backend(service.name_, placement.node_, service.slots_);
        }
    }
    demo_fleet.wait_until_converged(std::size(placements),
                                    std::size(placements) * std::size(services));
    demo_fleet.apply(json::parse(read_example("manifest.json")), "day staff", "the demonstration");
}

std::string first_target_of(fleet& demo_fleet, std::string_view service)
{
    for (const backend_process& backend : demo_fleet.backends())
    {
        if (backend.service_ == service)
        {
            return backend.target_;
        }
    }
    return {};
}

load_result send_requests(fleet& demo_fleet)
{
    auto plan = parse_load_plan(read_example("load.json"));
    if (!plan)
    {
        throw std::runtime_error(last_reason().text_);
    }
    plan->callers_ = demo_fleet.callers();
    plan->rate_ = FLAGS_rate;
    plan->seconds_ = FLAGS_seconds;
    background_load load(*plan, 1);
    wait_for_duration(from_ms(FLAGS_seconds * 250.0));
    const std::string killed = first_target_of(demo_fleet, "ledger-view");
    demo_fleet.backend(killed).process_->kill();
    std::cout << "killed " << killed << std::endl;
    wait_for_duration(from_ms(FLAGS_seconds * 250.0));
    const std::string stalled = first_target_of(demo_fleet, "certs");
    demo_fleet.set_backend_fault(stalled, {{"stall_share", 1.0}});
    std::cout << "stalled " << stalled << std::endl;
    return load.finish();
}

void print_addresses_json(const fleet& demo_fleet, std::deque<node_process>& nodes)
{
    json line{{"callers", demo_fleet.callers()}, {"store", demo_fleet.store()}};
    for (const node_process& node : nodes)
    {
        line["operators"].push_back(node.operators_);
        line["announce"].push_back(node.announce_);
    }
    std::cout << line.dump() << std::endl;
}

void wait_for_interrupt()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
}

std::uint64_t count_outcome(const load_result& result, load_outcome kind)
{
    const auto found = result.outcomes_.find(kind);
    return found == result.outcomes_.end() ? 0 : found->second;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    fleet demo_fleet;
    start_fleet(demo_fleet);
    const load_result result = send_requests(demo_fleet);
    std::cout << load_report_json(result).dump() << std::endl;
    const std::uint64_t complete = count_outcome(result, load_outcome::complete);
    const std::uint64_t wrong = count_outcome(result, load_outcome::wrong);
    std::uint64_t total = 0;
    for (const auto& [kind, count] : result.outcomes_)
    {
        total += count;
    }
    const std::uint64_t lost = total - complete - wrong;
    std::cout << "demo: " << total << " requests, " << complete << " whole, " << wrong << " wrong, "
              << lost << " lost" << std::endl;
    if (FLAGS_keep)
    {
        print_addresses_json(demo_fleet, demo_fleet.nodes());
        wait_for_interrupt();
    }
    return wrong == 0 && lost == 0 ? 0 : 1;
}
