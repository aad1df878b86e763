#ifndef BAMBOOHOIST_HTTP_SOCKET_WATCH_HPP
#define BAMBOOHOIST_HTTP_SOCKET_WATCH_HPP

#include "loop/io_watch.hpp"

namespace bamboohoist {

/// Watches a socket that libcurl owns. When a connection fails early, libcurl closes its socket
/// before it reports that the socket needs no watch any more, and the reactor cannot remove a
/// closed descriptor. Therefore a duplicate is watched, which stays open until the watch ends.
class socket_watch
{
public:
    socket_watch(event_loop& loop, int fd, io_watch::callback on_ready);
    ~socket_watch();

    socket_watch(const socket_watch&) = delete;
    socket_watch& operator=(const socket_watch&) = delete;

    void set(io_events events);

private:
    int duplicate_fd_;
    io_watch watch_;
};

} // namespace bamboohoist

#endif
