#ifndef BAMBOOHOIST_TESTING_PROXY_CONNECTION_HPP
#define BAMBOOHOIST_TESTING_PROXY_CONNECTION_HPP

#include "core/lifetime.hpp"
#include "stand_in/proxy_path.hpp"

namespace bamboohoist::testing {

/// One TCP connection through the fault-injecting proxy. Bytes keep their order within a
/// direction; closing one side closes the other after the bytes on the way.
class proxy_connection
{
public:
    proxy_connection(event_loop& loop, proxy_path& path, int client_fd, int server_fd);
    ~proxy_connection();

private:
    /// One direction of the connection.
    struct flow
    {
        int from_ = -1;
        int to_ = -1;
        std::deque<std::string> ready_;      ///< Bytes whose delay has passed.
        std::deque<std::string> on_the_way_; ///< Pieces whose delay has not passed.
        instant last_arrival_;               ///< Keeps pieces in order.
        bool ended_ = false;                 ///< The sender has closed.
        bool closed_ = false;                ///< The end was passed on.
    };

    void on_ready(int fd, io_events events);
    bool receive(flow& direction, bool forward);
    bool deliver(flow& direction);
    bool pass_end(flow& direction);
    void update_watches();
    void close();

    event_loop& loop_;
    proxy_path& path_;
    flow forward_;
    flow backward_;
    std::unique_ptr<io_watch> client_watch_;
    std::unique_ptr<io_watch> server_watch_;
    lifetime lifetime_;
};

} // namespace bamboohoist::testing

#endif
