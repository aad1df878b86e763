#include "stand_in/proxy_path.hpp"

#include "stand_in/proxy_connection.hpp"

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

constexpr std::size_t max_datagram = 65536;

std::uint64_t flow_key(const sockaddr_in& address)
{
    return (static_cast<std::uint64_t>(address.sin_addr.s_addr) << 16U) | address.sin_port;
}

} // namespace

proxy_path::proxy_path(event_loop& loop, random_source& random, endpoint server)
    : loop_(loop), random_(random), server_(std::move(server))
{
}

proxy_path::~proxy_path()
{
    connections_.clear();
    tcp_watch_.reset();
    udp_watch_.reset();
    for (auto& [key, flow] : flows_)
    {
        flow->watch_.reset();
        ::close(flow->fd_);
    }
    ::close(tcp_fd_);
    ::close(udp_fd_);
}

bool proxy_path::start(std::uint16_t port)
{
    const auto fd = open_listener(endpoint{"127.0.0.1", port});
    if (!fd)
    {
        return false;
    }
    tcp_fd_ = *fd;
    port_ = bound_port(tcp_fd_);
    udp_fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = *to_socket_address(endpoint{"127.0.0.1", port_});
    if (::bind(udp_fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        return false;
    }
    tcp_watch_ = std::make_unique<io_watch>(loop_, tcp_fd_, [this](io_events) { accept_all(); });
    tcp_watch_->set(io_events::read);
    udp_watch_ =
        std::make_unique<io_watch>(loop_, udp_fd_, [this](io_events) { on_client_datagram(); });
    udp_watch_->set(io_events::read);
    return true;
}

std::uint16_t proxy_path::port() const
{
    return port_;
}

void proxy_path::set_server(endpoint server)
{
    server_ = std::move(server);
}

path_faults& proxy_path::faults()
{
    return faults_;
}

std::uint64_t proxy_path::bytes(bool forward) const
{
    return forward ? forward_bytes_ : backward_bytes_;
}

void proxy_path::reset_all()
{
    connections_.clear();
}

void proxy_path::silence_all()
{
    for (auto& [raw, connection] : connections_)
    {
        raw->silence();
    }
}

void proxy_path::accept_all()
{
    for (;;)
    {
        const int fd = ::accept4(tcp_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            return;
        }
        const int server = faults_.refuse_ ? -1 : open_connection(server_);
        if (server < 0)
        {
            ::close(fd);
            continue;
        }
        auto connection = std::make_unique<proxy_connection>(loop_, *this, fd, server);
        proxy_connection* raw = connection.get();
        connections_.emplace(raw, std::move(connection));
    }
}

void proxy_path::remove(proxy_connection& connection)
{
    const auto found = connections_.find(&connection);
    if (found != connections_.end())
    {
        proxy_connection* closing = found->second.release();
        connections_.erase(found);
        loop_.defer([closing] { delete closing; });
    }
}

void proxy_path::on_client_datagram()
{
    std::array<char, max_datagram> buffer;
    for (;;)
    {
        sockaddr_in client{};
        socklen_t length = sizeof client;
        const auto received = ::recvfrom(udp_fd_, buffer.data(), buffer.size(), 0,
                                         reinterpret_cast<sockaddr*>(&client), &length);
        if (received < 0)
        {
            return;
        }
        const auto size = static_cast<std::size_t>(received);
        const direction_faults& faults = faults_.forward_;
        if (faults.black_hole_ || random_.chance(faults.loss_))
        {
            continue;
        }
        forward_bytes_ += size;
        const int fd = find_or_create_flow(client).fd_;
        const auto server = to_socket_address(server_);
        run_after(loop_, compute_delay(faults, size, true),
                  [fd, server, bytes = std::string(buffer.data(), size)] {
                      ::sendto(fd, bytes.data(), bytes.size(), 0,
                               reinterpret_cast<const sockaddr*>(&*server), sizeof *server);
                  });
    }
}

void proxy_path::on_server_datagram(datagram_flow& flow)
{
    std::array<char, max_datagram> buffer;
    for (;;)
    {
        const auto received = ::recv(flow.fd_, buffer.data(), buffer.size(), 0);
        if (received < 0)
        {
            return;
        }
        const auto size = static_cast<std::size_t>(received);
        const direction_faults& faults = faults_.backward_;
        if (faults.black_hole_ || random_.chance(faults.loss_))
        {
            continue;
        }
        backward_bytes_ += size;
        run_after(loop_, compute_delay(faults, size, false),
                  [this, client = flow.client_, bytes = std::string(buffer.data(), size)] {
                      ::sendto(udp_fd_, bytes.data(), bytes.size(), 0,
                               reinterpret_cast<const sockaddr*>(&client), sizeof client);
                  });
    }
}

proxy_path::datagram_flow& proxy_path::find_or_create_flow(const sockaddr_in& client)
{
    auto& flow = flows_[flow_key(client)];
    if (!flow)
    {
        flow = std::make_unique<datagram_flow>();
        flow->client_ = client;
        flow->fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        datagram_flow* raw = flow.get();
        flow->watch_ = std::make_unique<io_watch>(
            loop_, flow->fd_, [this, raw](io_events) { on_server_datagram(*raw); });
        flow->watch_->set(io_events::read);
    }
    return *flow;
}

duration proxy_path::compute_delay(const direction_faults& faults, std::size_t size, bool forward)
{
    duration delay = from_ms(faults.delay_ms_ + random_.uniform() * faults.jitter_ms_);
    if (faults.bytes_per_s_ > 0.0)
    {
        instant& idle_at = forward ? forward_idle_at_ : backward_idle_at_;
        const instant now = std::chrono::steady_clock::now();
        idle_at = std::max(idle_at, now) +
                  from_ms(1000.0 * static_cast<double>(size) / faults.bytes_per_s_);
        delay += idle_at - now;
    }
    return delay;
}

} // namespace bamboohoist::testing
