#ifndef BAMBOOHOIST_WIRE_SERVER_CONNECTION_HPP
#define BAMBOOHOIST_WIRE_SERVER_CONNECTION_HPP

#include "wire/stream_server.hpp"

namespace bamboohoist {

/// One accepted connection of a stream server and the calls in flight on it.
class server_connection : private session_listener
{
public:
    server_connection(event_loop& loop, stream_server& server, int fd);
    ~server_connection() override;

    void respond(std::int32_t stream, stream_message response);

    void refuse_new_calls();
    std::size_t in_flight() const;
    const stream_session& session() const;

private:
    void on_message(std::int32_t stream, stream_message message) override;
    void on_reset(std::int32_t stream, bool refused) override;
    void on_pong() override;
    void on_closed() override;
    void abandon_all();

    stream_server& server_;
    std::unordered_map<std::int32_t, stream_call_ptr> calls_;
    stream_session session_;
};

} // namespace bamboohoist

#endif
