#include "wire/stream_server.hpp"

#include "loop/keep_alive.hpp"
#include "wire/server_connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist {

stream_call::stream_call(server_connection* connection, std::int32_t stream, stream_message message)
    : connection_(connection), stream_(stream), message_(std::move(message))
{
}

const stream_message& stream_call::message() const
{
    return message_;
}

stream_message stream_call::take_message()
{
    return std::move(message_);
}

void stream_call::respond(stream_message response)
{
    server_connection* connection = connection_;
    connection_ = nullptr;
    on_abandoned_ = nullptr;
    if (connection != nullptr)
    {
        connection->respond(stream_, std::move(response));
    }
}

void stream_call::on_abandoned(std::function<void()> callback)
{
    on_abandoned_ = std::move(callback);
}

void stream_call::abandon()
{
    connection_ = nullptr;
    const auto callback = std::move(on_abandoned_);
    on_abandoned_ = nullptr;
    if (callback)
    {
        callback();
    }
}

stream_server::stream_server(event_loop& loop, std::string name, endpoint local, handler on_call)
    : loop_(loop), name_(std::move(name)), local_(std::move(local)), on_call_(std::move(on_call))
{
}

stream_server::~stream_server()
{
    stop();
}

std::string_view stream_server::name() const
{
    return name_;
}

bool stream_server::start()
{
    const auto fd = open_listener(local_);
    if (!fd)
    {
        return false;
    }
    fd_ = *fd;
    port_ = bound_port(fd_);
    watch_ = std::make_unique<io_watch>(loop_, fd_, [this](io_events) { accept_all(); });
    watch_->set(io_events::read);
    return true;
}

void stream_server::stop()
{
    connections_.clear();
    watch_.reset();
    if (fd_ >= 0)
    {
        ::close(fd_);
        fd_ = -1;
    }
}

std::uint16_t stream_server::port() const
{
    return port_;
}

void stream_server::refuse_new_calls()
{
    refuses_calls_ = true;
    for (const auto& [raw, connection] : connections_)
    {
        connection->refuse_new_calls();
    }
}

std::size_t stream_server::in_flight() const
{
    std::size_t count = 0;
    for (const auto& [raw, connection] : connections_)
    {
        count += connection->in_flight();
    }
    return count;
}

std::uint64_t stream_server::bytes_sent() const
{
    std::uint64_t bytes = closed_bytes_sent_;
    for (const auto& [raw, connection] : connections_)
    {
        bytes += connection->session().bytes_sent();
    }
    return bytes;
}

std::uint64_t stream_server::bytes_received() const
{
    std::uint64_t bytes = closed_bytes_received_;
    for (const auto& [raw, connection] : connections_)
    {
        bytes += connection->session().bytes_received();
    }
    return bytes;
}

void stream_server::accept_all()
{
    for (;;)
    {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            return;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        enable_keep_alive(fd);
        auto connection = std::make_unique<server_connection>(loop_, *this, fd);
        server_connection* raw = connection.get();
        if (refuses_calls_)
        {
            raw->refuse_new_calls();
        }
        connections_.emplace(raw, std::move(connection));
    }
}

void stream_server::remove(server_connection& connection)
{
    const auto found = connections_.find(&connection);
    if (found == connections_.end())
    {
        return;
    }
    closed_bytes_sent_ += connection.session().bytes_sent();
    closed_bytes_received_ += connection.session().bytes_received();
    // The session is still on the call stack, so it is deleted after the current event.
    auto* closing = found->second.release();
    connections_.erase(found);
    loop_.defer([closing] { delete closing; });
}

} // namespace bamboohoist
