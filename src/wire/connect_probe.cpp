#include "wire/connect_probe.hpp"

#include "loop/io_watch.hpp"
#include "loop/timer.hpp"

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist {

namespace {

/// A connection counts as accepted only when it stays open this long.
constexpr duration min_open_time = std::chrono::milliseconds(25);

/// One connection attempt. Deletes itself after it has reported the result.
class connect_probe
{
public:
    connect_probe(event_loop& loop, int fd, duration timeout,
                  std::function<void(probe_result)> on_result)
        : loop_(loop), fd_(fd), on_result_(std::move(on_result)),
          watch_(loop, fd, [this](io_events) { on_ready(); }),
          timer_(loop, [this] { on_timeout(); })
    {
        watch_.set(io_events::write);
        timer_.arm(timeout);
    }

private:
    void on_ready()
    {
        int error = 0;
        socklen_t length = sizeof error;
        ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0)
        {
            finish(result_of(error));
            return;
        }
        if (!connected_)
        {
            // The listening socket of a dying process may still accept connections for a moment,
            // so the connection has to stay open before it counts.
            connected_ = true;
            watch_.set(io_events::read);
            timer_.arm(min_open_time);
            return;
        }
        // Some servers send first. Only the end of the connection shows that nobody is there.
        char byte = 0;
        const bool open = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
        finish(open ? probe_result::accepted : probe_result::closed);
    }

    /// True when the connection was established or failed, or has ended, since the last look.
    bool has_event() const
    {
        pollfd polled{fd_, static_cast<short>(connected_ ? POLLIN : POLLOUT), 0};
        return ::poll(&polled, 1, 0) > 0;
    }

    static probe_result result_of(int error)
    {
        switch (error)
        {
        case ECONNREFUSED:
            return probe_result::refused;
        case ECONNRESET:
            return probe_result::closed;
        default:
            return probe_result::no_response;
        }
    }

    void on_timeout()
    {
        if (has_event())
        {
            // The loop runs timers before it looks at sockets.
            on_ready();
            return;
        }
        finish(connected_ ? probe_result::accepted : probe_result::no_response);
    }

    void finish(probe_result result)
    {
        watch_.set(io_events::none);
        timer_.cancel();
        ::close(fd_);
        const auto report = std::move(on_result_);
        loop_.defer([this] { delete this; });
        report(result);
    }

    bool connected_ = false;
    event_loop& loop_;
    int fd_;
    std::function<void(probe_result)> on_result_;
    io_watch watch_;
    timer timer_;
};

} // namespace

void probe_connection(event_loop& loop, const endpoint& remote, duration timeout,
                      std::function<void(probe_result)> on_result)
{
    const int fd = open_connection(remote);
    if (fd < 0)
    {
        const auto result =
            errno == ECONNREFUSED ? probe_result::refused : probe_result::no_response;
        loop.defer([result, report = std::move(on_result)] { report(result); });
        return;
    }
    // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): the probe deletes itself.
    new connect_probe(loop, fd, timeout, std::move(on_result));
}

} // namespace bamboohoist
