#include "platform/kv_store.hpp"

#include "fakes/single_response_server.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::single_response_server;

namespace {

/// Makes a call over a reused connection that the server closes without a response. Returns the
/// number of responses that the server has sent, that of the first call included.
int count_responses(const std::function<void(store_client&, store_client::callback)>& call)
{
    const single_response_server server;
    process_metrics metrics;
    event_loop loop(metrics);
    platform::kv_store store(loop, *parse_endpoint(server.address()), {}, metrics);
    store.list("first/", [&](const store_reply&) {
        call(store, [&](const store_reply& reply) {
            CHECK(reply.status_ == store_status::unavailable);
            loop.request_stop();
        });
    });
    loop.run();
    return server.response_count();
}

} // namespace

TEST_CASE("an interrupted watch is not sent again, because the store may have removed its history")
{
    const int watch_responses =
        count_responses([](store_client& store, store_client::callback on_reply) {
            store.watch("bamboohoist/head", 5, std::chrono::seconds(2), std::move(on_reply));
        });
    CHECK(watch_responses == 1);
    const int list_responses =
        count_responses([](store_client& store, store_client::callback on_reply) {
            store.list("second/", std::move(on_reply));
        });
    CHECK(list_responses == 2);
}
