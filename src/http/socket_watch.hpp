#ifndef BAMBOOHOIST_HTTP_SOCKET_WATCH_HPP
#define BAMBOOHOIST_HTTP_SOCKET_WATCH_HPP

#include "loop/io_watch.hpp"

namespace bamboohoist {

/// Watches a socket that libcurl owns. libcurl closes a socket whose connection fails early
/// before it says that the socket needs no watch any more, and a reactor can't forget a closed
/// descriptor. So the watch is on a duplicate, which stays open until the watch ends.
class socket_watch
{
public:
    socket_watch(event_loop& loop, int fd, io_watch::callback on_ready);
    ~socket_watch();

    socket_watch(const socket_watch&) = delete;
    socket_watch& operator=(const socket_watch&) = delete;

    void set(io_events wanted);

private:
    int duplicate_;
    io_watch watch_;
};

} // namespace bamboohoist

#endif
