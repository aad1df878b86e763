#include "protocol/embedded_response.hpp"

#include <chrono>
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
    for (const std::string_view status :
         {"HTTP/1.1 203 Non-Authoritative Information", "HTTP/1.0 500 Error 7", "HTTP/1.1 500"})
    {
        CAPTURE(status);
        CHECK(contains_response_head("half" + std::string(status) + "\r\nX-Id: 7f\r\n\r\n", field));
    }
    const std::size_t shortest = std::string_view("HTTP/").size();
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

// An answer that echoed its caller's input held up the traffic thread for seconds.
TEST_CASE("a long body that quotes many heads is examined with bounded work")
{
    std::string quotes;
    while (quotes.size() < (1U << 20U))
    {
        quotes += "a:HTTP/1.1 200\r\n";
    }
    const auto begin = std::chrono::steady_clock::now();
    CHECK_FALSE(contains_response_head(quotes, field));
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(1));
}
