/// Case 11: the leaving of a target that a restarted node has confirmed is undone by a late
/// heartbeat of that target.

#include "deployment.hpp"

#include <algorithm>

namespace {

using namespace review;

constexpr int drain_ms = 2500;
constexpr int stable_window_ms = 3000;
constexpr int restart_delay_ms = 500;
constexpr int late_beat_ms = 3500;    ///< After the acknowledgement.
constexpr int further_work_ms = 8000; ///< How long the target serves after the acknowledgement.

verdict play(record_file& record)
{
    const scratch_folder folder;
    kv_store store;
    store.put("op/config",
              operator_document(7, {{"orders.example", "/orders/", "ordenes", false}}));
    target leaving(record, "i-leaving", "ordenes", "z1", 600);
    target staying(record, "i-staying", "ordenes", "z1", 600);
    node first({"n1", "z1", "r1", "ordenes", leaving.address()}, store.address(), folder.path());
    node second({"n2", "z1", "r1", "ordenes", staying.address()}, store.address(), folder.path());
    first.start();
    second.start();
    if (!first.wait_ready(10000) || !second.wait_ready(10000))
    {
        cannot_run("a node did not get ready");
    }
    leaving.announce_to(first);
    staying.announce_to(second);
    sleep_ms(3000);
    clients at_second(record, second, "n2", "orders.example", "/orders/b", "POST", 50);
    sleep_ms(2000);
    if (leaving.runs().empty() || staying.runs().empty())
    {
        cannot_run("a target got no request before the trouble");
    }

    // The last heartbeat before the end of the process is on its way for some seconds.
    leaving.stop_beats();
    const http_message late = leaving.delayed_beat();
    std::int64_t started_ms = elapsed_ms();
    if (with_trouble())
    {
        record.line("n1 is killed");
        first.kill_now();
        sleep_ms(restart_delay_ms);
        first.start();
        started_ms = elapsed_ms();
        record.line("n1 is started again");
        if (!first.wait_ready(5000))
        {
            cannot_run("n1 did not get ready again");
        }
    }
    int status = 0;
    for (int i = 0; i < 20 && status != 200; ++i)
    {
        status = leaving.deregister(false);
        record.line("i-leaving says that it leaves: " + std::to_string(status));
        if (status != 200)
        {
            sleep_ms(200);
        }
    }
    if (status != 200)
    {
        cannot_run("the leaving was not acknowledged");
    }
    const std::int64_t acked_ms = elapsed_ms();
    record.line("the leaving of i-leaving is acknowledged");
    sleep_ms(late_beat_ms);
    record.line("the delayed heartbeat arrives: " + std::to_string(leaving.deliver(late)));
    sleep_ms(further_work_ms - late_beat_ms);
    record.line("i-leaving ends");
    leaving.end();
    sleep_ms(1000);
    at_second.stop();

    const std::int64_t bound_ms = std::max(acked_ms + drain_ms, started_ms + stable_window_ms);
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
