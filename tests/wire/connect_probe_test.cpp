#include "wire/connect_probe.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <doctest/doctest.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace bamboohoist;

namespace {

/// A port of loopback that is taken, and on which nobody listens.
class silent_port
{
public:
    silent_port() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound = ::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        REQUIRE(bound == 0);
    }

    ~silent_port()
    {
        ::close(fd_);
    }

    silent_port(const silent_port&) = delete;
    silent_port& operator=(const silent_port&) = delete;

    endpoint address() const
    {
        return {"127.0.0.1", bound_port(fd_)};
    }

private:
    int fd_;
};

/// Holds up the thread, as other work of the loop does.
void hold_up(int time_ms)
{
    ::poll(nullptr, 0, time_ms);
}

/// Listens, and sends a byte first on each connection, as servers do that begin with their
/// settings.
class greeting_server
{
public:
    greeting_server() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        REQUIRE(bound == 0);
        const int listening = ::listen(listener_, 1);
        REQUIRE(listening == 0);
        thread_ = std::thread([this] {
            const int fd = ::accept(listener_, nullptr, nullptr);
            ::send(fd, "s", 1, MSG_NOSIGNAL);
            char byte = 0;
            ::recv(fd, &byte, 1, 0); // Until the probe closes the connection.
            ::close(fd);
        });
    }

    ~greeting_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    greeting_server(const greeting_server&) = delete;
    greeting_server& operator=(const greeting_server&) = delete;

    endpoint address() const
    {
        return {"127.0.0.1", bound_port(listener_)};
    }

private:
    int listener_;
    std::thread thread_;
};

} // namespace

// A target that had ended counted as living, and the part of its answer as whole.
TEST_CASE("a probe that is refused while the loop is held up is not taken for one without response")
{
    const silent_port port;
    process_metrics metrics;
    event_loop loop(metrics);
    std::optional<probe_result> seen;
    loop.post([&] {
        probe_connection(loop, port.address(), std::chrono::milliseconds(5),
                         [&](probe_result result) {
                             seen = result;
                             loop.request_stop();
                         });
        hold_up(10);
    });
    loop.run();
    CHECK(seen == probe_result::refused);
}

// A guard sends its settings first, and was taken for a process that had closed the connection.
TEST_CASE("a server that sends first accepts a probe")
{
    const greeting_server server;
    process_metrics metrics;
    event_loop loop(metrics);
    std::optional<probe_result> seen;
    probe_connection(loop, server.address(), std::chrono::seconds(2), [&](probe_result result) {
        seen = result;
        loop.request_stop();
    });
    loop.run();
    CHECK(seen == probe_result::accepted);
}
