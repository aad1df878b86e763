#include "wire/endpoint.hpp"

#include "core/error.hpp"
#include "loop/keep_alive.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist {

namespace {

constexpr int listen_backlog = 512;

std::nullopt_t fail_listen(const endpoint& local)
{
    return fail(error_kind::bad_settings,
                "cannot listen on " + to_string(local) + ": " + std::strerror(errno));
}

} // namespace

std::string to_string(const endpoint& value)
{
    return value.address_ + ":" + std::to_string(value.port_);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return fail(error_kind::bad_settings,
                    "expected ADDRESS:PORT, got \"" + std::string(text) + "\"");
    }
    endpoint parsed{std::string(text.substr(0, colon)), 0};
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port_);
    if (error != std::errc() || end != digits.data() + digits.size() || !to_socket_address(parsed))
    {
        return fail(error_kind::bad_settings,
                    "expected an IPv4 ADDRESS:PORT, got \"" + std::string(text) + "\"");
    }
    return parsed;
}

std::optional<sockaddr_in> to_socket_address(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port_);
    if (::inet_pton(AF_INET, value.address_.c_str(), &address.sin_addr) != 1)
    {
        return std::nullopt;
    }
    return address;
}

int open_connection(const endpoint& remote)
{
    const auto address = to_socket_address(remote);
    if (!address)
    {
        return -1;
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
    {
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    enable_keep_alive(fd);
    const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address);
    if (result != 0 && errno != EINPROGRESS)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

std::optional<int> open_listener(const endpoint& local)
{
    const auto address = to_socket_address(local);
    if (!address)
    {
        errno = EADDRNOTAVAIL;
        return fail_listen(local);
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto* raw = reinterpret_cast<const sockaddr*>(&*address);
    if (::bind(fd, raw, sizeof *address) != 0 || ::listen(fd, listen_backlog) != 0)
    {
        const auto failed = fail_listen(local);
        ::close(fd);
        return failed;
    }
    return fd;
}

std::uint16_t bound_port(int fd)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

} // namespace bamboohoist
