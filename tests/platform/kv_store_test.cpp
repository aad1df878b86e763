#include "platform/kv_store.hpp"

#include "fakes/single_response_server.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::single_response_server;

namespace {

/// Answers that the server gives when the kept connection dies under a second call.
int answers_of(const std::function<void(store_client&, store_client::callback)>& call)
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
    return server.answered();
}

} // namespace

TEST_CASE("a watch that is cut is not sent again as it was, because history may be gone")
{
    const int watching = answers_of([](store_client& store, store_client::callback ended) {
        store.watch("bamboohoist/head", 5, std::chrono::seconds(2), std::move(ended));
    });
    CHECK(watching == 1);
    const int listing = answers_of([](store_client& store, store_client::callback ended) {
        store.list("second/", std::move(ended));
    });
    CHECK(listing == 2);
}
