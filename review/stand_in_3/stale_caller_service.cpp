/// Case 15: after a target of another service has taken a machine's address, and the settings file
/// says so, requests of that machine still bear the name of the former service.

#include "deployment.hpp"

#include <algorithm>
#include <csignal>

namespace {

using namespace review;

constexpr int addr_reuse_ms = 2000;
constexpr int config_apply_ms = 2500;
constexpr int observed_ms = 7000;

verdict play(record_file& record)
{
    const scratch_folder folder;
    kv_store store;
    store.put("op/config", operator_document(7, {{"quotes.example", "/quotes/", "cotiza", true}}));
    target former(record, "i-certs", "certs", "z1", 50);
    target quotes(record, "i-cotiza", "cotiza", "z1", 50);
    node first({"n1", "z1", "r1", "certs", former.address()}, store.address(), folder.path());
    node second({"n2", "z1", "r1", "cotiza", quotes.address()}, store.address(), folder.path());
    first.start();
    const std::int64_t started_ms = elapsed_ms();
    second.start();
    if (!first.wait_ready(10000) || !second.wait_ready(10000))
    {
        cannot_run("a node did not get ready");
    }
    former.announce_to(first);
    quotes.announce_to(second);
    sleep_ms(2000);
    former.stop_beats();
    record.line("i-certs says that it leaves: " + std::to_string(former.deregister(true)));
    former.end();
    // The platform rewrites the file at any time; here not just before the node looks at it.
    while ((elapsed_ms() - started_ms) % 5000 < 600 || (elapsed_ms() - started_ms) % 5000 > 900 ||
           elapsed_ms() - started_ms < 2000 + addr_reuse_ms)
    {
        sleep_ms(10);
    }
    first.set_service("ordenes");
    const std::int64_t changed_ms = elapsed_ms();
    record.line("the settings file of n1 names the service ordenes");
    if (!with_trouble())
    {
        first.signal(SIGHUP);
        record.line("n1 gets SIGHUP");
    }
    target present(record, "i-ordenes", "ordenes", "z1", 50);
    present.announce_to(first);
    sleep_ms(500);
    clients calls(record, first, "i-ordenes-call", "quotes.example", "/quotes/", "GET", 100);
    sleep_ms(observed_ms);
    calls.stop();
    const auto answers = calls.outcomes();
    const auto runs = quotes.runs();
    const auto wrong = std::ranges::count_if(runs, [&](const run& item) {
        return item.at_ms_ > changed_ms + config_apply_ms && item.caller_service_ != "ordenes";
    });
    if (runs.empty() || answers.empty())
    {
        cannot_run("no request reached the target");
    }
    return {wrong > 0, std::to_string(wrong) + " of " + std::to_string(runs.size()) +
                           " requests ran with the service that the machine had before"};
}

} // namespace

int main()
{
    return run_case(&play);
}
