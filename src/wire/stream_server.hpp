#ifndef BAMBOOHOIST_WIRE_STREAM_SERVER_HPP
#define BAMBOOHOIST_WIRE_STREAM_SERVER_HPP

#include "core/ref_counted.hpp"
#include "core/supervisor.hpp"
#include "wire/endpoint.hpp"
#include "wire/stream_session.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace bamboohoist {

class stream_server;
class server_connection;

/// A message received on a stream, and the means to respond to it. May outlive its connection.
class stream_call : public ref_counted_local<stream_call>
{
public:
    stream_call(server_connection* connection, std::int32_t stream, stream_message message);

    const stream_message& message() const;

    /// Moves the message out of the call, so that its body is held once.
    stream_message take_message();

    /// Sends the response. Ignored when the peer has cancelled the call or disconnected.
    void respond(stream_message response);

    /// The callback runs once when the peer cancels the call or disconnects before the response.
    void on_abandoned(std::function<void()> callback);

private:
    friend class server_connection;

    void abandon();

    server_connection* connection_; ///< Null after the stream has closed.
    std::int32_t stream_;
    stream_message message_;
    std::function<void()> on_abandoned_;
};

using stream_call_ptr = ref_ptr<stream_call>;

/// Accepts connections from peers and passes every message that arrives on a stream to a handler.
class stream_server : public child
{
public:
    using handler = std::function<void(const stream_call_ptr&)>;

    stream_server(event_loop& loop, std::string name, endpoint local, handler on_call);
    ~stream_server() override;

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    std::uint16_t port() const;

    /// Tells the clients that calls that arrive from now on are not processed; the calls in flight
    /// continue. The handler still gets calls that had begun to arrive, and has to refuse them.
    void refuse_new_calls();

    /// Number of calls that were passed to the handler and have no response yet.
    std::size_t in_flight() const;

    /// Bytes sent and received on all connections, closed ones included.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    friend class server_connection;

    void accept_all();
    void remove(server_connection& connection);

    event_loop& loop_;
    std::string name_;
    endpoint local_;
    handler on_call_;
    int fd_ = -1;
    bool refuses_calls_ = false;
    std::uint16_t port_ = 0;
    std::unique_ptr<io_watch> watch_;
    std::unordered_map<server_connection*, std::unique_ptr<server_connection>> connections_;
    std::uint64_t closed_bytes_sent_ = 0;
    std::uint64_t closed_bytes_received_ = 0;
};

} // namespace bamboohoist

#endif
