#include "protocol/embedded_response.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace bamboohoist;

namespace {

constexpr std::string_view field = "X-Id";
const std::string head = "HTTP/1.1 200 OK\r\nServer: s\r\nX-Id: 7f\r\n\r\n";

} // namespace

// A second answer filled up the body of one that broke off.
TEST_CASE("a body with the head of a second response in it is found, wherever the body ends")
{
    CHECK(contains_response_head("half" + head + "second", field));
    CHECK(contains_response_head(head, field));
    const std::size_t shortest = std::string_view("HTTP/1.1 200").size();
    for (std::size_t size = shortest; size < head.size(); ++size)
    {
        CAPTURE(size);
        CHECK(contains_response_head("half" + head.substr(0, size), field));
    }
}

TEST_CASE("a body that quotes a head of another protocol or writes about one is not taken for two")
{
    CHECK_FALSE(contains_response_head("", field));
    CHECK_FALSE(contains_response_head("HTTP/1.1 is a protocol", field));
    CHECK_FALSE(contains_response_head(R"({"log":"GET / HTTP/1.1 200 8 ms"})", field));
    CHECK_FALSE(contains_response_head("HTTP/1.1 200 OK\nX-Id: 7f\n\n", field));
    CHECK_FALSE(contains_response_head("HTTP/1.1 200 OK\r\nServer: s\r\n\r\nbody", field));
}
