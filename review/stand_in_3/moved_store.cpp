/// Beside the cases: the settings file names another address of the platform's store and SIGHUP
/// says so, but the node goes on with the former address and never learns of the next
/// configuration.

#include "deployment.hpp"

#include <algorithm>
#include <csignal>

namespace {

using namespace review;

constexpr int config_apply_ms = 2500;
constexpr int stable_window_ms = 3000;

verdict play(record_file& record)
{
    const scratch_folder folder;
    auto former_store = std::make_unique<kv_store>();
    const std::string before =
        operator_document(7, {{"orders.example", "/orders/", "ordenes", false}});
    const std::string after =
        operator_document(12, {{"orders.example", "/orders/", "certs", false}});
    former_store->put("op/config", before);
    kv_store store;
    store.put("op/config", before);
    target former(record, "i-ordenes", "ordenes", "z1", 50);
    target present(record, "i-certs", "certs", "z1", 50);
    node first({"n1", "z1", "r1", "ordenes", former.address()}, former_store->address(),
               folder.path());
    node second({"n2", "z1", "r1", "certs", present.address()}, former_store->address(),
                folder.path());
    first.start();
    second.start();
    if (!first.wait_ready(10000) || !second.wait_ready(10000))
    {
        cannot_run("a node did not get ready");
    }
    former.announce_to(first);
    present.announce_to(second);
    sleep_ms(2000);
    for (node* item : {&first, &second})
    {
        if (with_trouble())
        {
            item->set_store(store.address());
            item->signal(SIGHUP);
        }
    }
    if (with_trouble())
    {
        record.line("the settings files name the store's new address, and the nodes get SIGHUP");
        sleep_ms(1000);
        former_store.reset();
        record.line("the former address of the store is gone");
    }
    sleep_ms(2 * stable_window_ms);
    (with_trouble() ? store : *former_store).put("op/config", after);
    const std::int64_t acked_ms = elapsed_ms();
    record.line("the store acknowledges version 12, which moves the orders to certs");
    clients orders(record, first, "n1", "orders.example", "/orders/", "POST", 100);
    sleep_ms(config_apply_ms + 5000);
    orders.stop();
    const auto runs = former.runs();
    const auto stale = std::ranges::count_if(
        runs, [&](const run& item) { return item.at_ms_ > acked_ms + config_apply_ms; });
    return {stale > 0, std::to_string(stale) +
                           " orders were run by the old service later than ConfigApply after the "
                           "acknowledgement"};
}

} // namespace

int main()
{
    return run_case(&play);
}
