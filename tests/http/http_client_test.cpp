#include "http/http_client.hpp"

#include "fakes/endless_server.hpp"
#include "fakes/scripted_server.hpp"
#include "fakes/single_response_server.hpp"
#include "harness/transfer.hpp"
#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <doctest/doctest.h>
#include <future>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

/// A listening port whose accept queue is full, so that no further connection is established.
class unresponsive_port
{
public:
    unresponsive_port() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        REQUIRE(bound == 0);
        const int listening = ::listen(listener_, 0);
        REQUIRE(listening == 0);
        socklen_t length = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
        for (int& fd : fillers_)
        {
            fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            const int begun =
                ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
            CHECK((begun == 0 || errno == EINPROGRESS));
        }
    }

    ~unresponsive_port()
    {
        for (const int fd : fillers_)
        {
            ::close(fd);
        }
        ::close(listener_);
    }

    std::string server() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    int listener_;
    int fillers_[4] = {};
    std::uint16_t port_ = 0;
};

} // namespace

TEST_CASE("connections that are never established cause no reactor errors")
{
    constexpr int transfers = 200;
    const unresponsive_port port;
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, transfers);
    int ended = 0;
    for (int i = 0; i < transfers; ++i)
    {
        transfer_request request;
        request.server_ = port.server();
        request.message_.method_ = "GET";
        request.message_.target_ = "/";
        request.timeout_ = std::chrono::milliseconds(20 + i);
        client.start(std::move(request), [&](const transfer_result& result) {
            CHECK(result.end_ == transfer_end::connect_timed_out);
            ended += 1;
            if (ended == transfers)
            {
                loop.request_stop();
            }
        });
    }
    loop.run();
    CHECK(ended == transfers);
    CHECK(metrics.value(counter::reactor_errors) == 0);
}

namespace {

/// Sends two requests one after the other and returns the end of the second.
transfer_end second_end(bool repeatable)
{
    const single_response_server server;
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 2);
    const auto make_request = [&] {
        transfer_request request;
        request.server_ = server.address();
        request.message_.method_ = "GET";
        request.message_.target_ = "/";
        request.timeout_ = std::chrono::seconds(5);
        request.repeatable_ = repeatable;
        return request;
    };
    transfer_end last = transfer_end::refused;
    client.start(make_request(), [&](const transfer_result& first) {
        CHECK(first.end_ == transfer_end::complete);
        client.start(make_request(), [&](const transfer_result& second) {
            last = second.end_;
            CHECK(second.sent_again_ == repeatable);
            loop.request_stop();
        });
    });
    loop.run();
    return last;
}

} // namespace

TEST_CASE("only a repeatable request is sent again when its reused connection is dead")
{
    CHECK(second_end(false) == transfer_end::lost);
    CHECK(second_end(true) == transfer_end::complete);
}

namespace {

struct endless_response
{
    std::string_view name_;
    std::string_view beginning_;
    std::string_view repeated_;
};

/// Bytes that are no answer and that the server sends until its connection is closed.
constexpr std::array endless_responses{
    endless_response{"a head that never ends", "HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"},
    endless_response{"a head line that never ends", "HTTP/1.1 200 OK\r\nX-Filler: ", "abcdefgh"},
    endless_response{"interim responses without end", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    endless_response{"bytes that are no response", "", "abcdefgh"},
    endless_response{"empty lines", "", "\r\n"},
    endless_response{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"},
    endless_response{"chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "8\r\nabcdefgh\r\n"},
    endless_response{"a chunk size without end",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000"},
    endless_response{"trailers without end",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                     "X-Filler: abcdefgh\r\n"},
};

std::string repeat(std::string_view text, std::size_t min_bytes)
{
    std::string repeated;
    while (repeated.size() < min_bytes)
    {
        repeated += text;
    }
    return repeated;
}

} // namespace

TEST_CASE("a response that never ends is cut off long before the deadline")
{
    constexpr std::size_t max_body_bytes = 1U << 20U;
    constexpr std::size_t max_read_bytes = 8U << 20U; // what the kernel buffers included
    for (const endless_response& kind : endless_responses)
    {
        CAPTURE(kind.name_);
        const endless_server server(std::string(kind.beginning_), repeat(kind.repeated_, 16384));
        process_metrics metrics;
        event_loop loop(metrics);
        http_client client(loop, 2);
        transfer_request request;
        request.server_ = server.address();
        request.message_.method_ = "GET";
        request.message_.target_ = "/";
        request.timeout_ = std::chrono::seconds(10);
        request.max_response_bytes_ = max_body_bytes;
        transfer_result ended;
        client.start(std::move(request), [&](transfer_result result) {
            ended = std::move(result);
            loop.request_stop();
        });
        loop.run();
        CHECK(ended.end_ != transfer_end::complete);
        CHECK(ended.end_ != transfer_end::timed_out);
        CHECK(ended.response_.headers_.empty());
        CHECK(server.bytes_sent() < max_read_bytes);
    }
}

TEST_CASE("bodies that never end share a bounded amount of memory")
{
    constexpr std::size_t max_buffered_bytes = 17U << 20U; // one chunk more than the limit
    constexpr int transfers = 6;
    std::array<std::unique_ptr<endless_server>, transfers> servers;
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 2);
    std::size_t most_buffered = 0;
    int ended = 0;
    timer sampler(loop, [&] { most_buffered = std::max(most_buffered, client.buffered_bytes()); });
    sampler.repeat(std::chrono::milliseconds(1));
    for (auto& server : servers)
    {
        server =
            std::make_unique<endless_server>("HTTP/1.1 200 OK\r\n\r\n", repeat("abcdefgh", 16384));
        transfer_request request;
        request.server_ = server->address();
        request.message_.method_ = "GET";
        request.message_.target_ = "/";
        request.timeout_ = std::chrono::seconds(10);
        client.start(std::move(request), [&](const transfer_result& result) {
            CHECK(result.end_ == transfer_end::too_large);
            most_buffered = std::max(most_buffered, client.buffered_bytes());
            if (++ended == transfers)
            {
                loop.request_stop();
            }
        });
    }
    loop.run();
    CHECK(ended == transfers);
    CHECK(most_buffered <= max_buffered_bytes);
    CHECK(client.buffered_bytes() == 0);
}

namespace {

/// Sends one request to a server with this script and returns how it ended.
transfer_result transfer_from(std::string answer, connection_end end)
{
    const scripted_server server({{std::move(answer)}, end});
    return run_transfer(make_transfer("GET", server.address()));
}

} // namespace

TEST_CASE("the result tells what ended the body and how much of it has come")
{
    const transfer_result whole =
        transfer_from("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd", connection_end::none);
    CHECK(whole.end_ == transfer_end::complete);
    CHECK(whole.framing_ == body_framing::length);
    CHECK(whole.body_bytes_ == 4);
    CHECK_FALSE(whole.reused_connection_);

    const transfer_result partial =
        transfer_from("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", connection_end::close);
    CHECK(partial.end_ == transfer_end::lost);
    CHECK(partial.status_ == 200);
    CHECK(partial.body_bytes_ == 2);

    const transfer_result chunked = transfer_from(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", connection_end::close);
    CHECK(chunked.end_ == transfer_end::lost);
    CHECK(chunked.framing_ == body_framing::chunked);

    const transfer_result without_length =
        transfer_from("HTTP/1.1 200 OK\r\n\r\nabcd", connection_end::close);
    CHECK(without_length.end_ == transfer_end::complete);
    CHECK(without_length.framing_ == body_framing::connection_close);

    const transfer_result reset = transfer_from("HTTP/1.1 200 OK\r\n\r\nab", connection_end::reset);
    CHECK(reset.end_ == transfer_end::lost);
    CHECK(reset.framing_ == body_framing::connection_close);
}

// A late second response was followed by that of the next request, each taken for that of another.
TEST_CASE("after a response to another request the connection is not used again")
{
    const std::string first = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nabcd";
    const scripted_server server({{first, first}});
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 2);
    std::vector<transfer_result> ended;
    const auto send = [&](std::string id, const http_client::callback& on_end) {
        transfer_request request;
        request.server_ = server.address();
        request.message_.method_ = "GET";
        request.message_.target_ = "/";
        request.timeout_ = std::chrono::seconds(5);
        request.accept_head_ = [id = std::move(id)](const response_message& head, bool) {
            return head.status_ == 200 && find_header(head.headers_, "X-Id") == id;
        };
        client.start(std::move(request), [&, on_end](transfer_result result) {
            ended.push_back(std::move(result));
            on_end({});
        });
    };
    const auto stop = [&](const transfer_result&) { loop.request_stop(); };
    const auto third = [&](const transfer_result&) { send("1", stop); };
    const auto second = [&](const transfer_result&) { send("2", third); };
    send("1", second);
    loop.run();
    REQUIRE(ended.size() == 3);
    CHECK(ended[0].end_ == transfer_end::complete);
    CHECK(ended[1].end_ == transfer_end::foreign);
    CHECK(ended[1].reused_connection_);
    CHECK(ended[1].response_.body_.empty());
    CHECK(ended[2].end_ == transfer_end::complete);
    CHECK_FALSE(ended[2].reused_connection_);
}

// The end of the connection stands for the end of a body, not for the end of a head.
TEST_CASE("an answer that breaks off in its head is not taken for an empty whole one")
{
    constexpr std::array<std::string_view, 4> broken_heads{
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nX-Signature: 7\r\n",
        "HTTP/1.1 200 OK\r\nX-Signature: 7\r\nContent-Len",
        "HTTP/1.1 200 OK\r\nX-Signature: 7\r\nTransfer-Encoding: chun",
    };
    for (const std::string_view head : broken_heads)
    {
        CAPTURE(head);
        const transfer_result broken = transfer_from(std::string(head), connection_end::close);
        CHECK(broken.end_ == transfer_end::lost);
        CHECK(broken.response_.headers_.empty());
    }
}

// libcurl ends such a body with the connection, as one without a length.
TEST_CASE("a body in a transfer coding without chunks is not told as chunked")
{
    const transfer_result broken = transfer_from(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nab", connection_end::close);
    CHECK(broken.framing_ == body_framing::connection_close);
}

// libcurl then ignores the length, and callers got the part of the body that had come.
TEST_CASE("a body that is shorter than its length is not whole, whatever its transfer coding")
{
    for (const std::string_view coding : {"identity", ""})
    {
        CAPTURE(coding);
        const transfer_result cut =
            transfer_from("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) +
                              "\r\nContent-Length: 4\r\n\r\nab",
                          connection_end::close);
        CHECK(cut.end_ == transfer_end::lost);
    }
}

// Otherwise the status of the first answer stands before the fields and the body of the second.
TEST_CASE("a status line that continues with that of a second answer is no answer")
{
    const transfer_result mixed = transfer_from(
        "HTTP/1.1 200 OHTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nab", connection_end::none);
    CHECK(mixed.end_ == transfer_end::lost);
}

// The fields of the first answer stood before the status, the fields and the body of the second.
TEST_CASE("a field that a second answer continues is no field of a response")
{
    const std::string second = "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nab";
    for (const std::string_view first :
         {"HTTP/1.1 200 OK\r\nDate: Sat, 05", "HTTP/1.1 200 OK\r\nContent-Length: 2"})
    {
        CAPTURE(first);
        const transfer_result mixed =
            transfer_from(std::string(first) + second, connection_end::none);
        CHECK(mixed.end_ == transfer_end::lost);
    }
}

// A trailer of a signed success said that the request had not run.
TEST_CASE("a trailer is no field of the head")
{
    const transfer_result whole =
        transfer_from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
                      "X-Not-Executed: 1\r\n\r\n",
                      connection_end::none);
    CHECK(whole.end_ == transfer_end::complete);
    CHECK(whole.response_.body_ == "ab");
    CHECK_FALSE(find_header(whole.response_.headers_, "X-Not-Executed"));
}

// A second answer continued the fields of the first one, with another body and another length.
TEST_CASE("a head that holds a line which is no field is no head of a response")
{
    for (const std::string_view line :
         {"HTTP/1.1 500 Failed: late\r\n", " HTTP/1.1 500 Failed: late\r\n", " \r\n",
          " folded: 1\r\n", "Content-Length : 4\r\n", ": 1\r\n"})
    {
        CAPTURE(line);
        const transfer_result mixed =
            transfer_from("HTTP/1.1 200 OK\r\nX-A: 1\r\n" + std::string(line) + "X-B: 1\r\n\r\nab",
                          connection_end::close);
        CHECK(mixed.end_ == transfer_end::lost);
        CHECK(mixed.response_.body_.empty());
    }
}

TEST_CASE("a status line after an interim response begins the head of the response")
{
    const transfer_result whole =
        transfer_from("HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nX-B: 1\r\nContent-Length: 2\r\n\r\nab",
                      connection_end::none);
    CHECK(whole.end_ == transfer_end::complete);
    CHECK(whole.status_ == 200);
    CHECK_FALSE(find_header(whole.response_.headers_, "X-A"));
    CHECK(find_header(whole.response_.headers_, "X-B") == "1");
}

// libcurl takes the last of several lengths, and the digits at the beginning of one.
TEST_CASE("a response that does not tell its length in one way is not complete")
{
    for (const std::string_view fields :
         {"Content-Length: 4\r\nContent-Length: 2\r\n", "Content-Length: 2, 4\r\n",
          "Content-Length: 2x\r\n", "Content-Length: +2\r\n", "Content-Length: 2 4\r\n"})
    {
        CAPTURE(fields);
        const transfer_result unclear = transfer_from(
            "HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\nabcd", connection_end::none);
        CHECK(unclear.end_ == transfer_end::lost);
    }
}

// Callers got a body without its last chunks, whose size `000005` had broken off after a zero.
TEST_CASE("a second answer after a zero of a chunk's size does not end the body")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 7\r\n\r\n";
    const std::string broken_off = head + "2\r\nab\r\n0";
    const std::string framed = head + "4\r\nabcd\r\n0\r\n\r\n";
    const std::string unframed = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nabcd";
    for (const std::string& second : {framed, unframed})
    {
        const transfer_result mixed = transfer_from(broken_off + second, connection_end::close);
        CHECK(mixed.end_ == transfer_end::lost);
    }
}

namespace {

/// Sends these bytes, and the rest when the client has read the head.
transfer_result transfer_late(std::string first, std::string rest)
{
    std::promise<void> head_read;
    server_script script{{std::move(first)}, connection_end::close};
    script.rest_ = std::move(rest);
    script.rest_allowed_ = head_read.get_future().share();
    const scripted_server server(std::move(script));
    transfer_request request = make_transfer("GET", server.address());
    request.accept_head_ = [&](const response_message&, bool) {
        head_read.set_value();
        return true;
    };
    return run_transfer(std::move(request));
}

} // namespace

// Callers got a body that a second answer had filled up, which came after the head had been read.
TEST_CASE("a late second answer does not complete a body that broke off")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
    const std::string second = "HTTP/1.1 500 Failed\r\nContent-Length: 40\r\n\r\n";
    const std::string body(40, '.');
    for (const std::size_t missing : {1U, 2U, 3U, 4U, 5U, 20U, 40U})
    {
        CAPTURE(missing);
        const transfer_result spliced = transfer_late(head + body.substr(missing), second + body);
        CHECK(spliced.end_ == transfer_end::lost);
    }
    CHECK(transfer_late(head, body + second).end_ == transfer_end::complete);
}

// Sound answers of simple servers were taken for those that a second one had filled up.
TEST_CASE("a body that ends as a status line begins is whole when its connection ends as announced")
{
    for (const std::string_view head :
         {"HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: x-trace, Close\r\n"})
    {
        CAPTURE(head);
        const transfer_result whole = transfer_from(
            std::string(head) + "Content-Length: 5\r\n\r\nabcdH", connection_end::close);
        CHECK(whole.end_ == transfer_end::complete);
    }
}
