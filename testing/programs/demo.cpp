/// Runs the main job on loopback: a store, four nodes in two regions and backend servers of both
/// deployments, a few hundred requests, one backend server killed and one stalled under way.

#include "cli/load_report.hpp"
#include "core/error.hpp"
#include "harness/fleet.hpp"

#include <csignal>
#include <curl/curl.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>

DEFINE_bool(keep, false, "stay in the foreground with the fleet running");
DEFINE_double(seconds, 4.0, "how long requests are sent");
DEFINE_double(rate, 150.0, "requests a second");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

struct place
{
    const char* node_;
    const char* region_;
    const char* domain_;
};

constexpr place places[] = {
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

void start_fleet(fleet& started)
{
    for (const place& at : places)
    {
        started.add_node(at.node_, at.region_, at.domain_);
    }
    for (const place& at : places)
    {
        for (const demo_service& service : services)
        {
            started.add_backend(service.name_, at.node_, service.slots_);
        }
    }
    started.wait_until_converged(std::size(places), std::size(places) * std::size(services));
    started.apply(json::parse(read_example("manifest.json")), "day staff", "the demonstration");
}

std::string first_target(fleet& started, std::string_view service)
{
    for (const backend_process& item : started.backends())
    {
        if (item.service_ == service)
        {
            return item.target_;
        }
    }
    return {};
}

load_result send_requests(fleet& started)
{
    auto plan = parse_load_plan(read_example("load.json"));
    if (!plan)
    {
        throw std::runtime_error(last_reason().text_);
    }
    plan->callers_ = started.callers();
    plan->rate_ = FLAGS_rate;
    plan->seconds_ = FLAGS_seconds;
    background_load load(*plan, 1);
    wait_for_duration(from_ms(FLAGS_seconds * 250.0));
    const std::string killed = first_target(started, "ledger-view");
    started.backend(killed).process_->kill();
    std::cout << "killed " << killed << std::endl;
    wait_for_duration(from_ms(FLAGS_seconds * 250.0));
    const std::string stalled = first_target(started, "certs");
    started.set_backend_fault(stalled, {{"stall_share", 1.0}});
    std::cout << "stalled " << stalled << std::endl;
    return load.finish();
}

void print_addresses(const fleet& started, std::deque<node_process>& nodes)
{
    json line{{"callers", started.callers()}, {"store", started.store()}};
    for (const node_process& item : nodes)
    {
        line["operators"].push_back(item.operators_);
        line["announce"].push_back(item.announce_);
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

std::uint64_t count_of(const load_result& result, load_outcome end)
{
    const auto found = result.outcomes_.find(end);
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
    fleet started;
    start_fleet(started);
    const load_result result = send_requests(started);
    std::cout << load_report_json(result).dump() << std::endl;
    const std::uint64_t complete = count_of(result, load_outcome::complete);
    const std::uint64_t wrong = count_of(result, load_outcome::wrong);
    std::uint64_t all = 0;
    for (const auto& [end, count] : result.outcomes_)
    {
        all += count;
    }
    const std::uint64_t lost = all - complete - wrong;
    std::cout << "demo: " << all << " requests, " << complete << " whole, " << wrong << " wrong, "
              << lost << " lost" << std::endl;
    if (FLAGS_keep)
    {
        print_addresses(started, started.nodes());
        wait_for_interrupt();
    }
    return wrong == 0 && lost == 0 ? 0 : 1;
}
