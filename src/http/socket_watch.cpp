#include "http/socket_watch.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace bamboohoist {

socket_watch::socket_watch(event_loop& loop, int fd, io_watch::callback on_ready)
    : duplicate_fd_(::fcntl(fd, F_DUPFD_CLOEXEC, 0)),
      watch_(loop, duplicate_fd_, std::move(on_ready))
{
}

socket_watch::~socket_watch()
{
    watch_.set(io_events::none);
    ::close(duplicate_fd_);
}

void socket_watch::set(io_events events)
{
    watch_.set(events);
}

} // namespace bamboohoist
