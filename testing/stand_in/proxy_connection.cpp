#include "stand_in/proxy_connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

constexpr std::size_t read_chunk_bytes = 65536;
/// No more is read from a direction with this many chunks in transit, like the back-pressure of a
/// slow link.
constexpr std::size_t max_chunks_in_transit = 256;

} // namespace

proxy_connection::proxy_connection(event_loop& loop, proxy_path& path, int client_fd, int server_fd)
    : loop_(loop), path_(path)
{
    forward_.from_ = client_fd;
    forward_.to_ = server_fd;
    backward_.from_ = server_fd;
    backward_.to_ = client_fd;
    client_watch_ = std::make_unique<io_watch>(
        loop, client_fd, [this, client_fd](io_events events) { on_ready(client_fd, events); });
    server_watch_ = std::make_unique<io_watch>(
        loop, server_fd, [this, server_fd](io_events events) { on_ready(server_fd, events); });
    update_watches();
}

proxy_connection::~proxy_connection()
{
    client_watch_.reset();
    server_watch_.reset();
    ::close(forward_.from_);
    ::close(forward_.to_);
}

void proxy_connection::silence()
{
    silent_ = true;
}

void proxy_connection::on_ready(int fd, io_events events)
{
    flow& incoming = fd == forward_.from_ ? forward_ : backward_;
    flow& outgoing = fd == forward_.from_ ? backward_ : forward_;
    const bool is_open =
        events == io_events::read ? receive(incoming, &incoming == &forward_) : deliver(outgoing);
    if (!is_open)
    {
        close();
        return;
    }
    update_watches();
}

bool proxy_connection::receive(flow& direction, bool forward)
{
    std::array<char, read_chunk_bytes> buffer;
    const auto received = ::recv(direction.from_, buffer.data(), buffer.size(), 0);
    if (received < 0)
    {
        return errno == EAGAIN || errno == EINTR;
    }
    const direction_faults& faults = forward ? path_.faults_.forward_ : path_.faults_.backward_;
    if (received == 0)
    {
        direction.sender_closed_ = true;
        if (silent_)
        {
            return !(forward_.sender_closed_ && backward_.sender_closed_);
        }
        return forward_end_of_stream(direction);
    }
    const auto size = static_cast<std::size_t>(received);
    if (faults.black_hole_ || silent_)
    {
        return true;
    }
    (forward ? path_.forward_bytes_ : path_.backward_bytes_) += size;
    const instant now = std::chrono::steady_clock::now();
    const instant arrival =
        std::max(now + path_.compute_delay(faults, size, forward), direction.last_arrival_);
    direction.last_arrival_ = arrival;
    direction.in_transit_.emplace_back(buffer.data(), size);
    // Timers that expire at about the same time may fire in any order. Each timer therefore
    // delivers the oldest chunk, which keeps the bytes in order.
    run_after(loop_, arrival - now, [this, &direction, alive = lifetime_.watch()] {
        if (!alive)
        {
            return;
        }
        direction.ready_.push_back(std::move(direction.in_transit_.front()));
        direction.in_transit_.pop_front();
        if (silent_)
        {
            direction.ready_.clear();
            return;
        }
        if (!deliver(direction))
        {
            close();
            return;
        }
        update_watches();
    });
    return true;
}

bool proxy_connection::deliver(flow& direction)
{
    while (!direction.ready_.empty())
    {
        std::string& chunk = direction.ready_.front();
        const auto sent = ::send(direction.to_, chunk.data(), chunk.size(), MSG_NOSIGNAL);
        if (sent < 0)
        {
            return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
        }
        chunk.erase(0, static_cast<std::size_t>(sent));
        if (chunk.empty())
        {
            direction.ready_.pop_front();
        }
    }
    return forward_end_of_stream(direction);
}

bool proxy_connection::forward_end_of_stream(flow& direction)
{
    if (direction.sender_closed_ && direction.in_transit_.empty() && direction.ready_.empty())
    {
        direction.end_forwarded_ = true;
        ::shutdown(direction.to_, SHUT_WR);
    }
    return !(forward_.end_forwarded_ && backward_.end_forwarded_);
}

void proxy_connection::update_watches()
{
    const auto wanted_events = [](const flow& incoming, const flow& outgoing) {
        const bool read =
            !incoming.sender_closed_ && incoming.in_transit_.size() < max_chunks_in_transit;
        io_events events = read ? io_events::read : io_events::none;
        if (!outgoing.ready_.empty())
        {
            events = events | io_events::write;
        }
        return events;
    };
    client_watch_->set(wanted_events(forward_, backward_));
    server_watch_->set(wanted_events(backward_, forward_));
}

void proxy_connection::close()
{
    client_watch_->set(io_events::none);
    server_watch_->set(io_events::none);
    path_.remove(*this);
}

} // namespace bamboohoist::testing
