#include "wire/connect_probe.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <doctest/doctest.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace bamboohoist;

namespace {

/// A port of loopback on which nobody listens.
std::uint16_t closed_port()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
    const int bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    REQUIRE(bound == 0);
    const std::uint16_t port = bound_port(fd);
    ::close(fd);
    return port;
}

/// Keeps the thread busy, as other work of the loop does.
void hold_up(duration time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end)
    {
    }
}

} // namespace

// A target that had ended counted as living, and the part of its answer as whole.
TEST_CASE("a probe that is refused while the loop is held up is not taken for one without response")
{
    const endpoint remote{"127.0.0.1", closed_port()};
    process_metrics metrics;
    event_loop loop(metrics);
    std::optional<probe_result> seen;
    loop.post([&] {
        probe_connection(loop, remote, std::chrono::milliseconds(5), [&](probe_result result) {
            seen = result;
            loop.request_stop();
        });
        hold_up(std::chrono::milliseconds(10));
    });
    loop.run();
    CHECK(seen == probe_result::refused);
}
