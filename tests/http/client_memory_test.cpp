#include "fakes/scripted_server.hpp"
#include "harness/transfer.hpp"

#include <doctest/doctest.h>
#include <sstream>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr std::size_t capacity_bytes = 1'000'000;
constexpr std::size_t body_bytes = 300'000; ///< Two of them don't fit into the capacity.

std::string chunked_without_end()
{
    std::ostringstream answer;
    answer << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           << std::hex << body_bytes << "\r\n"
           << std::string(body_bytes, 'a') << "\r\n";
    return answer.str();
}

std::string with_length()
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'b');
}

} // namespace

// The caller got the head of such a response with an empty body as a whole one.
TEST_CASE("a body that was cut off for want of memory is not whole when only its end still comes")
{
    std::promise<void> rest;
    const scripted_server first({.answers_ = {chunked_without_end()},
                                 .rest_ = "0\r\n\r\n",
                                 .rest_allowed_ = rest.get_future()});
    const scripted_server second({{with_length()}});
    memory_account memory(capacity_bytes);
    process_metrics metrics;
    event_loop loop(metrics, &memory);
    http_client client(loop, 2);
    transfer_result cut;
    transfer_result whole;
    client.start(make_transfer("GET", first.address()), [&](transfer_result result) {
        cut = std::move(result);
        loop.request_stop();
    });
    timer begin_second(loop, [&] {
        if (client.buffered_bytes() < body_bytes)
        {
            return;
        }
        begin_second.cancel();
        client.start(make_transfer("GET", second.address()), [&](transfer_result result) {
            whole = std::move(result);
            rest.set_value();
        });
    });
    begin_second.repeat(std::chrono::milliseconds(5));
    loop.run();
    CHECK(whole.end_ == transfer_end::complete);
    CHECK(whole.response_.body_.size() == body_bytes);
    CHECK(cut.end_ == transfer_end::too_large);
    CHECK(cut.no_room_);
}

// A small response to a large request was refused, and the largest bodies were cut for it.
TEST_CASE("a small response has room although its request holds much")
{
    const std::string body(200, 's'); // Longer than a string holds without an allocation.
    const scripted_server server({{"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + body}});
    memory_account memory(capacity_bytes);
    process_metrics metrics;
    event_loop loop(metrics, &memory);
    http_client client(loop, 2);
    memory_charge others(memory, memory_use::transit);
    others.resize(capacity_bytes * 7 / 8 - 100'000);
    transfer_request request = make_transfer("POST", server.address());
    // Capacity counts, not length: the server reads once, and would reset a longer request.
    request.message_.body_.reserve(100'000);
    request.message_.body_ += "r";
    transfer_result ended;
    client.start(std::move(request), [&](transfer_result result) {
        ended = std::move(result);
        loop.request_stop();
    });
    loop.run();
    CHECK(ended.end_ == transfer_end::complete);
    CHECK(ended.response_.body_ == body);
}
