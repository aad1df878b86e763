#ifndef BAMBOOHOIST_TESTING_PROXY_PATH_HPP
#define BAMBOOHOIST_TESTING_PROXY_PATH_HPP

#include "core/random_source.hpp"
#include "loop/io_watch.hpp"
#include "loop/run_after.hpp"
#include "wire/endpoint.hpp"

#include <deque>
#include <memory>
#include <unordered_map>

namespace bamboohoist::testing {

/// The injected faults of one direction of a path.
struct direction_faults
{
    double delay_ms_ = 0.0;
    double jitter_ms_ = 0.0;   ///< Random extra delay; datagrams may be reordered.
    double bytes_per_s_ = 0.0; ///< 0 is unlimited.
    double loss_ = 0.0;        ///< Fraction of datagrams that are lost.
    bool black_hole_ = false;  ///< Bytes are dropped; connections stay open.
};

/// The faults of a path in both directions; `forward_` is towards the server.
struct path_faults
{
    direction_faults forward_;
    direction_faults backward_;
    bool refuse_ = false; ///< New connections are closed at once.
};

class proxy_connection;

/// One proxied path: forwards TCP connections and UDP datagrams from a local port to a server.
class proxy_path
{
public:
    proxy_path(event_loop& loop, random_source& random, endpoint server);
    ~proxy_path();

    /// Binds TCP and UDP to one port; 0 selects a free port.
    bool start(std::uint16_t port);

    std::uint16_t port() const;
    void set_server(endpoint server);
    path_faults& faults();
    std::uint64_t bytes(bool forward) const;

    /// Resets all open connections.
    void reset_all();

    /// The open connections carry nothing from now on and are not reset; new ones work.
    void silence_all();

private:
    friend class proxy_connection;

    /// A UDP client and the socket that forwards its datagrams to the server.
    struct datagram_flow
    {
        sockaddr_in client_{};
        int fd_ = -1;
        std::unique_ptr<io_watch> watch_;
    };

    void accept_all();
    void remove(proxy_connection& connection);
    void on_client_datagram();
    void on_server_datagram(datagram_flow& flow);
    datagram_flow& find_or_create_flow(const sockaddr_in& client);
    duration compute_delay(const direction_faults& faults, std::size_t size, bool forward);

    event_loop& loop_;
    random_source& random_;
    endpoint server_;
    path_faults faults_;
    int tcp_fd_ = -1;
    int udp_fd_ = -1;
    std::uint16_t port_ = 0;
    std::unique_ptr<io_watch> tcp_watch_;
    std::unique_ptr<io_watch> udp_watch_;
    std::unordered_map<proxy_connection*, std::unique_ptr<proxy_connection>> connections_;
    std::unordered_map<std::uint64_t, std::unique_ptr<datagram_flow>> flows_;
    std::uint64_t forward_bytes_ = 0;
    std::uint64_t backward_bytes_ = 0;
    instant forward_idle_at_; ///< When the bytes sent so far have passed at the limited bandwidth.
    instant backward_idle_at_;
};

} // namespace bamboohoist::testing

#endif
