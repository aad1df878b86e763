#include "loop/keep_alive.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bamboohoist {

namespace {

constexpr int idle_s = 1;     ///< A quiet connection is probed after this time.
constexpr int interval_s = 1; ///< Between two probes.
constexpr int probe_count = 2;

} // namespace

void enable_keep_alive(int fd)
{
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof probe_count);
}

} // namespace bamboohoist
