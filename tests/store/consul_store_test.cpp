#include "store/consul_store.hpp"

#include "fakes/scripted_server.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::connection_end;
using bamboohoist::testing::scripted_server;

namespace {

/// The status of a write that the store answers with this body, which ends with the connection.
store_status status_of_write(std::string_view body)
{
    const scripted_server server(
        {{"HTTP/1.1 200 OK\r\n\r\n" + std::string(body)}, connection_end::close});
    process_metrics metrics;
    event_loop loop(metrics);
    consul_store store(loop, *parse_endpoint(server.address()), metrics);
    store_status status = store_status::absent;
    store.write("key", "value", {1, {}}, [&](const store_reply& reply) {
        status = reply.status_;
        loop.request_stop();
    });
    loop.run();
    return status;
}

} // namespace

// A configuration that the store had taken would be reported as refused.
TEST_CASE("a write whose response is cut is neither done nor refused")
{
    for (const std::string_view cut : {"", "t", "tr", "tru", "f", "fals"})
    {
        CAPTURE(cut);
        CHECK(status_of_write(cut) == store_status::unavailable);
    }
    CHECK(status_of_write("true") == store_status::ok);
    CHECK(status_of_write("true\n") == store_status::ok);
    CHECK(status_of_write("false") == store_status::conflict);
}
