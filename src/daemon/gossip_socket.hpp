#ifndef BAMBOOHOIST_DAEMON_GOSSIP_SOCKET_HPP
#define BAMBOOHOIST_DAEMON_GOSSIP_SOCKET_HPP

#include "daemon/control_context.hpp"
#include "loop/io_watch.hpp"
#include "wire/endpoint.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace bamboohoist {

/// The UDP socket of gossip. Counts the datagrams and bytes that pass through it.
class gossip_socket
{
public:
    using datagram_handler = std::function<void(std::string_view bytes, const endpoint& from)>;

    gossip_socket(const control_context& context, datagram_handler on_datagram);
    ~gossip_socket();

    gossip_socket(const gossip_socket&) = delete;
    gossip_socket& operator=(const gossip_socket&) = delete;

    /// Binds to an IPv4 address. On false the last reason says why.
    bool open(const endpoint& local);
    void close();

    /// Sends one datagram. It is dropped when the socket is closed or the address is invalid.
    void send(const endpoint& remote, std::string_view bytes);

private:
    void on_readable();

    const control_context& context_;
    datagram_handler on_datagram_;
    int fd_ = -1;
    std::unique_ptr<io_watch> watch_;
};

} // namespace bamboohoist

#endif
