#include "fakes/scripted_server.hpp"
#include "harness/transfer.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

/// How the transfer ends when the server sends these bytes and closes the connection.
transfer_end end_of(std::string_view method, std::string_view bytes)
{
    const scripted_server server({{std::string(bytes)}, connection_end::close});
    return run_transfer(make_transfer(method, server.address())).end_;
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

// A response that announces another one, or a change of protocol, is not the one to the request.
TEST_CASE("an interim response after which the connection ends is not complete")
{
    CHECK(end_of("GET", "HTTP/1.1 100 Continue\r\n\r\n") == transfer_end::lost);
    CHECK(end_of("GET", "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n") == transfer_end::lost);
    CHECK(end_of("GET", "HTTP/1.1 101 Switching Protocols\r\n\r\nab") == transfer_end::lost);
    CHECK(end_of("GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n") ==
          transfer_end::lost);
}
