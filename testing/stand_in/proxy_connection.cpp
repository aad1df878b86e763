#include "stand_in/proxy_connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

constexpr std::size_t piece_bytes = 65536;
/// A direction with more on the way is not read from, as a narrow link would push back.
constexpr std::size_t max_pieces = 256;

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

void proxy_connection::on_ready(int fd, io_events events)
{
    flow& incoming = fd == forward_.from_ ? forward_ : backward_;
    flow& outgoing = fd == forward_.from_ ? backward_ : forward_;
    const bool good =
        events == io_events::read ? receive(incoming, &incoming == &forward_) : deliver(outgoing);
    if (!good)
    {
        close();
        return;
    }
    update_watches();
}

bool proxy_connection::receive(flow& direction, bool forward)
{
    std::array<char, piece_bytes> buffer;
    const auto got = ::recv(direction.from_, buffer.data(), buffer.size(), 0);
    if (got < 0)
    {
        return errno == EAGAIN || errno == EINTR;
    }
    const direction_faults& faults = forward ? path_.faults_.forward_ : path_.faults_.backward_;
    if (got == 0)
    {
        direction.ended_ = true;
        return pass_end(direction);
    }
    const auto size = static_cast<std::size_t>(got);
    if (faults.black_hole_)
    {
        return true;
    }
    (forward ? path_.forward_bytes_ : path_.backward_bytes_) += size;
    const instant now = std::chrono::steady_clock::now();
    const instant arrival =
        std::max(now + path_.delay_of(faults, size, forward), direction.last_arrival_);
    direction.last_arrival_ = arrival;
    direction.on_the_way_.emplace_back(buffer.data(), size);
    // Timers that are due at about the same time may fire in any order; the bytes may not.
    run_after(loop_, arrival - now, [this, &direction, alive = lifetime_.watch()] {
        if (!alive)
        {
            return;
        }
        direction.ready_.push_back(std::move(direction.on_the_way_.front()));
        direction.on_the_way_.pop_front();
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
        std::string& piece = direction.ready_.front();
        const auto sent = ::send(direction.to_, piece.data(), piece.size(), MSG_NOSIGNAL);
        if (sent < 0)
        {
            return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
        }
        piece.erase(0, static_cast<std::size_t>(sent));
        if (piece.empty())
        {
            direction.ready_.pop_front();
        }
    }
    return pass_end(direction);
}

bool proxy_connection::pass_end(flow& direction)
{
    if (direction.ended_ && direction.on_the_way_.empty() && direction.ready_.empty())
    {
        direction.closed_ = true;
        ::shutdown(direction.to_, SHUT_WR);
    }
    return !(forward_.closed_ && backward_.closed_);
}

void proxy_connection::update_watches()
{
    const auto wanted = [](const flow& incoming, const flow& outgoing) {
        const bool read = !incoming.ended_ && incoming.on_the_way_.size() < max_pieces;
        io_events events = read ? io_events::read : io_events::none;
        if (!outgoing.ready_.empty())
        {
            events = events | io_events::write;
        }
        return events;
    };
    client_watch_->set(wanted(forward_, backward_));
    server_watch_->set(wanted(backward_, forward_));
}

void proxy_connection::close()
{
    client_watch_->set(io_events::none);
    server_watch_->set(io_events::none);
    path_.remove(*this);
}

} // namespace bamboohoist::testing
