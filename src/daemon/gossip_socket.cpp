#include "daemon/gossip_socket.hpp"

#include "core/error.hpp"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist {

namespace {

constexpr std::size_t max_datagram_bytes = 65536;

} // namespace

gossip_socket::gossip_socket(const control_context& context, datagram_handler on_datagram)
    : context_(context), on_datagram_(std::move(on_datagram))
{
}

gossip_socket::~gossip_socket()
{
    close();
}

bool gossip_socket::open(const endpoint& local)
{
    const auto address = to_socket_address(local);
    fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto* raw = reinterpret_cast<const sockaddr*>(&*address);
    if (!address || ::bind(fd_, raw, sizeof *address) != 0)
    {
        fail(error_kind::bad_settings,
             "cannot bind the UDP socket of gossip to " + to_string(local));
        return false;
    }
    watch_ = std::make_unique<io_watch>(context_.loop_, fd_, [this](io_events) { on_readable(); });
    watch_->set(io_events::read);
    return true;
}

void gossip_socket::close()
{
    watch_.reset();
    if (fd_ >= 0)
    {
        ::close(fd_);
        fd_ = -1;
    }
}

void gossip_socket::send(const endpoint& remote, std::string_view bytes)
{
    const auto address = to_socket_address(remote);
    if (!address || fd_ < 0)
    {
        return;
    }
    context_.metrics_.add(counter::gossip_sent);
    context_.metrics_.add(counter::gossip_bytes_sent, bytes.size());
    ::sendto(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&*address),
             sizeof *address);
}

void gossip_socket::on_readable()
{
    std::array<char, max_datagram_bytes> buffer;
    for (;;)
    {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        const auto received = ::recvfrom(fd_, buffer.data(), buffer.size(), 0,
                                         reinterpret_cast<sockaddr*>(&address), &length);
        if (received < 0)
        {
            return;
        }
        std::array<char, INET_ADDRSTRLEN> text{};
        ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(received));
        context_.metrics_.add(counter::gossip_received);
        context_.metrics_.add(counter::gossip_bytes_received, bytes.size());
        on_datagram_(bytes, endpoint{text.data(), ntohs(address.sin_port)});
    }
}

} // namespace bamboohoist
