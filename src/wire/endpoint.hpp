#ifndef BAMBOOHOIST_WIRE_ENDPOINT_HPP
#define BAMBOOHOIST_WIRE_ENDPOINT_HPP

#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// An IPv4 address and a port.
struct endpoint
{
    std::string address_;
    std::uint16_t port_ = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// `address:port`.
std::string to_string(const endpoint& value);

/// Parses `address:port`; empty with the last reason on failure.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// The socket address, or empty when the address is not IPv4.
std::optional<sockaddr_in> to_socket_address(const endpoint& value);

/// Opens a non-blocking TCP socket and starts to connect it; -1 on failure.
int open_connection(const endpoint& remote);

/// Opens a non-blocking listening TCP socket; empty with the last reason on failure.
std::optional<int> open_listener(const endpoint& local);

/// The local port to which a socket is bound.
std::uint16_t bound_port(int fd);

} // namespace bamboohoist

#endif
