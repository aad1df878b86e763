#ifndef BAMBOOHOIST_DAEMON_GOSSIP_SOCKET_HPP
#define BAMBOOHOIST_DAEMON_GOSSIP_SOCKET_HPP

#include "daemon/control_context.hpp"
#include "loop/io_watch.hpp"
#include "wire/endpoint.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace bamboohoist {

/// The datagram socket of gossip. Counts what goes through it.
class gossip_socket
{
public:
    using receiver = std::function<void(std::string_view bytes, const endpoint& from)>;

    gossip_socket(const control_context& context, receiver on_datagram);
    ~gossip_socket();

    gossip_socket(const gossip_socket&) = delete;
    gossip_socket& operator=(const gossip_socket&) = delete;

    /// Binds an IPv4 address. On false the last reason says why.
    bool open(const endpoint& local);
    void close();

    /// Sends one datagram; a closed socket or a bad address drops it.
    void send(const endpoint& remote, std::string_view bytes);

private:
    void on_readable();

    const control_context& context_;
    receiver on_datagram_;
    int fd_ = -1;
    std::unique_ptr<io_watch> watch_;
};

} // namespace bamboohoist

#endif
