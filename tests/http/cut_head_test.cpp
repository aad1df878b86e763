#include "fakes/scripted_server.hpp"
#include "http/http_client.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::connection_end;
using bamboohoist::testing::scripted_server;

namespace {

/// How the transfer ends when the server sends these bytes and closes the connection.
transfer_end end_of(std::string_view method, std::string_view bytes)
{
    const scripted_server server({{std::string(bytes)}, connection_end::close});
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 1);
    transfer_request request;
    request.server_ = server.address();
    request.message_.method_ = std::string(method);
    request.message_.target_ = "/";
    request.timeout_ = std::chrono::seconds(5);
    transfer_end end = transfer_end::complete;
    client.start(std::move(request), [&](const transfer_result& result) {
        end = result.end_;
        loop.request_stop();
    });
    loop.run();
    return end;
}

} // namespace

// The fields that follow, such as the signature or Transfer-Encoding, would be missing.
TEST_CASE("a response whose head is cut by the end of its connection is not complete")
{
    CHECK(end_of("GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n") == transfer_end::lost);
    CHECK(end_of("GET", "HTTP/1.1 200 OK\r\nX-A: 1\r\n") == transfer_end::lost);
    CHECK(end_of("GET", "HTTP/1.1 503 Full\r\n") == transfer_end::lost);
    CHECK(end_of("GET", "HTTP/1.1 204 No Content\r\nX-A: 1\r\n") == transfer_end::lost);
    CHECK(end_of("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n") == transfer_end::lost);
    CHECK(end_of("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n") == transfer_end::complete);
}
