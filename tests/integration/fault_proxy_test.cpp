#include "harness/fleet.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

TEST_CASE("a path with delay and jitter keeps the order of a connection's bytes")
{
    fleet site;
    site.add_node("node-0", "lagos", "lagos-ikeja");
    const backend_process& backend = site.add_backend("orders", "node-0");
    const int path = site.make_path({{"server", backend.address_}});
    site.set_path(path, {{"forward", {{"delay_ms", 5.0}, {"jitter_ms", 20.0}}},
                         {"backward", {{"delay_ms", 5.0}, {"jitter_ms", 20.0}}}});
    std::string body;
    for (std::size_t i = 0; body.size() < 700'000; ++i)
    {
        body += std::to_string(i) + " ";
    }
    for (int i = 0; i < 10; ++i)
    {
        request_message request;
        request.method_ = "POST";
        request.target_ = "/orders/1";
        request.body_ = body;
        const auto response = http_call("127.0.0.1:" + std::to_string(path), request);
        REQUIRE(response);
        CHECK(json::parse(response->body_, nullptr, false).value("body", "") == body);
    }
}
