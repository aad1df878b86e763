#ifndef BAMBOOHOIST_TESTING_PROXY_CONNECTION_HPP
#define BAMBOOHOIST_TESTING_PROXY_CONNECTION_HPP

#include "core/lifetime.hpp"
#include "stand_in/proxy_path.hpp"

namespace bamboohoist::testing {

/// One TCP connection through the fault-injecting proxy. Bytes keep their order within a direction.
/// When one side closes, the other side is closed after the bytes in transit.
class proxy_connection
{
public:
    proxy_connection(event_loop& loop, proxy_path& path, int client_fd, int server_fd);
    ~proxy_connection();

    /// From now on every byte that arrives is dropped, and the end of a side is not forwarded.
    void silence();

private:
    /// One direction of the connection.
    struct flow
    {
        int from_ = -1;
        int to_ = -1;
        std::deque<std::string> ready_;      ///< Chunks whose delay has passed.
        std::deque<std::string> in_transit_; ///< Chunks whose delay has not passed.
        instant last_arrival_; ///< Arrival time of the newest chunk; the next one is not earlier.
        bool sender_closed_ = false; ///< The sender has closed its side.
        bool end_forwarded_ = false; ///< The receiver's side is closed too.
    };

    void on_ready(int fd, io_events events);
    bool receive(flow& direction, bool forward);
    bool deliver(flow& direction);
    bool forward_end_of_stream(flow& direction);
    void update_watches();
    void close();

    event_loop& loop_;
    proxy_path& path_;
    flow forward_;
    flow backward_;
    std::unique_ptr<io_watch> client_watch_;
    std::unique_ptr<io_watch> server_watch_;
    bool silent_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist::testing

#endif
