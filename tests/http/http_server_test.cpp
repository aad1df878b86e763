#include "http/http_server.hpp"

#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace bamboohoist;

namespace {

/// How a caller ends its connection after its last byte.
enum class caller_end
{
    half_close, ///< It still reads.
    close,
};

/// Sends these bytes to a server over a connection of its own, and reads until the server closes it
/// or is silent for half a second.
std::string send_bytes(std::uint16_t port, std::string_view bytes, caller_end end)
{
    const sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", port});
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval patience{0, 500'000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string received;
    if (end == caller_end::half_close)
    {
        ::shutdown(fd, SHUT_WR);
        std::array<char, 4096> buffer{};
        for (auto size = ::recv(fd, buffer.data(), buffer.size(), 0); size > 0;
             size = ::recv(fd, buffer.data(), buffer.size(), 0))
        {
            received.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    ::close(fd);
    return received;
}

/// What a server takes from a connection, and what it answers.
struct conversation
{
    std::vector<std::string> bodies_;
    std::string answers_;
};

/// The conversation on a connection that carries these bytes.
conversation converse(std::string_view bytes, caller_end end, memory_account* memory = nullptr)
{
    process_metrics metrics;
    event_loop loop(metrics, memory);
    conversation held;
    http_server server(loop, http_server_options{.name_ = "test", .address_ = "127.0.0.1"},
                       [&](const exchange_ptr& item) {
                           held.bodies_.push_back(item->request().body_);
                           item->complete(json_response(200, "{}"));
                       });
    REQUIRE(server.start());
    std::thread caller([&, port = server.port()] {
        held.answers_ = send_bytes(port, bytes, end);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        loop.request_stop();
    });
    loop.run();
    caller.join();
    server.stop();
    return held;
}

std::vector<std::string> bodies_of(std::string_view bytes, caller_end end = caller_end::half_close)
{
    return converse(bytes, end).bodies_;
}

std::string post(std::string_view fields, std::string_view body)
{
    return "POST /a HTTP/1.1\r\nHost: a.example\r\n" + std::string(fields) + "\r\n" +
           std::string(body);
}

using body_list = std::vector<std::string>;

} // namespace

TEST_CASE("a request whose body is cut by the end of its connection is not handed on")
{
    for (const caller_end end : {caller_end::half_close, caller_end::close})
    {
        CHECK(bodies_of(post("Content-Length: 9\r\n", "abc"), end).empty());
        CHECK(bodies_of(post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n"), end).empty());
        CHECK(bodies_of(post("Transfer-Encoding: chunked\r\n", "3\r\nab"), end).empty());
        CHECK(bodies_of(post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n"), end).empty());
        CHECK(bodies_of("POST /a HTTP/1.1\r\nHost: a.example\r\n", end).empty());
    }
}

// Guards against a request that is held, or run, although there is no memory for its body.
TEST_CASE("a body that does not fit into memory is refused and the next request is served")
{
    memory_account memory(100'000);
    CHECK(converse(post("Content-Length: 60000\r\n", std::string(60'000, 'b')) +
                       post("Content-Length: 3\r\n", "abc"),
                   caller_end::half_close, &memory)
              .bodies_ == body_list{"abc"});
    CHECK(memory.used() == 0);
    const conversation held =
        converse(post("Transfer-Encoding: chunked\r\n",
                      "ea60\r\n" + std::string(60'000, 'b') + "\r\n0\r\n\r\n"),
                 caller_end::half_close, &memory);
    CHECK(held.bodies_.empty());
    CHECK(held.answers_.starts_with("HTTP/1.1 503 "));
    CHECK(held.answers_.find("Retry-After: 1") != std::string::npos);
    CHECK(held.answers_.find("not-run") != std::string::npos);
    CHECK(memory.used() == 0);
}

// Guards against reading a body to its end that can't be accepted.
TEST_CASE("a body announced far over the limit is answered before it arrives")
{
    const conversation held =
        converse(post("Content-Length: 100000000\r\n", "abc"), caller_end::half_close);
    CHECK(held.bodies_.empty());
    CHECK(held.answers_.starts_with("HTTP/1.1 413 "));
}

TEST_CASE("bytes that follow a request belong to the next one")
{
    const std::string next = post("Content-Length: 9\r\n", "cut");
    CHECK(bodies_of(post("Content-Length: 3\r\n", "abc") + next) == body_list{"abc"});
    CHECK(bodies_of(post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n") + next) ==
          body_list{"abc"});
    CHECK(bodies_of(post("", "") + next) == body_list{""});
}

// A body that ends with its connection, or whose end is told in two ways, may be cut or may hold
// another request.
TEST_CASE("a request whose framing does not tell the end of its body is not handed on")
{
    for (const std::string_view fields :
         {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
          "Content-Length: 3\r\nContent-Length: 9\r\n"})
    {
        CAPTURE(fields);
        const std::string next = post("Content-Length: 0\r\n", "");
        const conversation held =
            converse(post(fields, "3\r\nabc\r\n0\r\n\r\n") + next, caller_end::half_close);
        CHECK(held.bodies_.empty());
        CHECK(held.answers_.starts_with("HTTP/1.1 400 "));
        CHECK(held.answers_.find("HTTP/1.1", 1) == std::string::npos);
    }
}

TEST_CASE("a request whose length is not one number is not handed on")
{
    for (const std::string_view fields :
         {"Content-Length: 3, 9\r\n", "Content-Length: +3\r\n", "Content-Length: 3x\r\n"})
    {
        CAPTURE(fields);
        const conversation held = converse(post(fields, "abc"), caller_end::half_close);
        CHECK(held.bodies_.empty());
        CHECK(held.answers_.starts_with("HTTP/1.1 400 "));
    }
}
