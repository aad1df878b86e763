/// Case 12: leases end during an outage of the store and take the notes of confirmed leavings with
/// them; after the nodes of the zone were killed, a late heartbeat brings such a target back.

#include "deployment.hpp"

#include <algorithm>
#include <array>

namespace {

using namespace review;

constexpr int drain_ms = 2500;
constexpr int stable_window_ms = 3000;
constexpr int restart_delay_ms = 500;
constexpr int late_beat_ms = 5000;     ///< After the acknowledgement.
constexpr int further_work_ms = 11000; ///< How long the target serves after the acknowledgement.

verdict play(record_file& record)
{
    const scratch_folder folder;
    kv_store store;
    store.put("op/config",
              operator_document(7, {{"orders.example", "/orders/", "ordenes", false}}));
    std::vector<std::unique_ptr<target>> targets;
    std::vector<std::unique_ptr<node>> nodes;
    for (const auto& [name, zone] : std::array<std::pair<const char*, const char*>, 4>{
             {{"1", "z1"}, {"2", "z1"}, {"3", "z2"}, {"4", "z2"}}})
    {
        targets.push_back(
            std::make_unique<target>(record, std::string("i-") + name, "ordenes", zone, 600));
        nodes.push_back(std::make_unique<node>(
            node::place{std::string("n") + name, zone, "r1", "ordenes", targets.back()->address()},
            store.address(), folder.path()));
        nodes.back()->start();
    }
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        if (!nodes[i]->wait_ready(10000))
        {
            cannot_run("a node did not get ready");
        }
        targets[i]->announce_to(*nodes[i]);
    }
    sleep_ms(3000);
    clients at_second(record, *nodes[1], "n2", "orders.example", "/orders/b", "POST", 80);
    clients at_third(record, *nodes[2], "n3", "orders.example", "/orders/c", "POST", 80);
    sleep_ms(2000);
    target& leaving = *targets[0];
    if (leaving.runs().empty())
    {
        cannot_run("the target got no request before the trouble");
    }

    leaving.stop_beats();
    const http_message late = leaving.delayed_beat();
    const int status = leaving.deregister(true);
    const std::int64_t acked_ms = elapsed_ms();
    record.line("i-1 says that it leaves: " + std::to_string(status) +
                "; notes in the store: " + std::to_string(store.count("bamboohoist/recovery/")));
    if (status != 200)
    {
        cannot_run("the leaving was not acknowledged");
    }
    std::int64_t calm_ms = acked_ms;
    if (with_trouble())
    {
        sleep_ms(200);
        record.line("the store is down, and its leases end");
        store.set_down(true);
        store.end_leases();
        sleep_ms(300);
        record.line("n1 and n2 are killed");
        nodes[0]->kill_now();
        nodes[1]->kill_now();
        sleep_ms(restart_delay_ms);
        nodes[0]->start();
        nodes[1]->start();
        sleep_ms(1000);
        store.set_down(false);
        record.line("the store is back");
        calm_ms = elapsed_ms();
    }
    while (elapsed_ms() < acked_ms + late_beat_ms)
    {
        sleep_ms(10);
    }
    record.line("the delayed heartbeat arrives: " + std::to_string(leaving.deliver(late)) +
                "; notes in the store: " + std::to_string(store.count("bamboohoist/recovery/")));
    sleep_ms(further_work_ms - late_beat_ms);
    record.line("i-1 ends");
    leaving.end();
    sleep_ms(1000);
    at_second.stop();
    at_third.stop();

    const std::int64_t bound_ms = std::max(acked_ms + drain_ms, calm_ms + stable_window_ms);
    const auto runs = leaving.runs();
    const auto late_runs =
        std::ranges::count_if(runs, [&](const run& item) { return item.at_ms_ > bound_ms; });
    const auto cut = std::ranges::count_if(
        runs, [&](const run& item) { return item.at_ms_ > bound_ms && item.cut_; });
    return {late_runs > 0, std::to_string(late_runs) +
                               " orders reached the target later than Drain after its leaving was "
                               "acknowledged; " +
                               std::to_string(cut) + " of them were cut when it ended"};
}

} // namespace

int main()
{
    return run_case(&play);
}
