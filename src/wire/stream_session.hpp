#ifndef BAMBOOHOIST_WIRE_STREAM_SESSION_HPP
#define BAMBOOHOIST_WIRE_STREAM_SESSION_HPP

#include "core/lifetime.hpp"
#include "loop/event_loop.hpp"
#include "loop/io_watch.hpp"
#include "wire/stream_bodies.hpp"
#include "wire/stream_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct nghttp2_session;

namespace bamboohoist {

/// Which side of a connection a session is.
enum class session_side
{
    client,
    server,
};

/// Callbacks of a session to its owner. Each of them may close the session.
class session_listener
{
public:
    virtual ~session_listener() = default;

    /// A complete message of the peer has arrived.
    virtual void on_message(std::int32_t stream, stream_message message) = 0;

    /// The peer reset a stream. `refused` is true when the peer did not process its message.
    virtual void on_reset(std::int32_t stream, bool refused) = 0;

    /// The ack of a ping has arrived.
    virtual void on_pong() = 0;

    /// The connection is closed; no further callback follows.
    virtual void on_closed() = 0;
};

/// One nghttp2 session over one TCP socket. Sends and receives complete messages.
class stream_session
{
public:
    /// Takes ownership of a connected or connecting non-blocking socket.
    stream_session(event_loop& loop, int fd, session_side side, session_listener& listener);
    ~stream_session();

    stream_session(const stream_session&) = delete;
    stream_session& operator=(const stream_session&) = delete;

    /// Client side: opens a stream and sends the message; empty when no stream can be opened.
    std::optional<std::int32_t> request(stream_message message);

    /// Server side: sends the response on a stream; ignored when the stream is closed.
    void respond(std::int32_t stream, stream_message message);

    /// Cancels a stream.
    void reset(std::int32_t stream);

    void ping();

    /// Server side: refuses new streams; open streams continue.
    void refuse_new_streams();

    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    /// Bytes that nghttp2 has produced and the socket has not accepted yet.
    std::size_t unsent_bytes() const;

private:
    friend struct stream_session_callbacks;

    void on_ready(io_events events);
    bool receive();
    bool flush();
    void finish_message(std::int32_t stream);
    void schedule_flush();
    void close_after_reading();
    void close();

    event_loop& loop_;
    int fd_;
    session_listener& listener_;
    nghttp2_session* session_ = nullptr;
    stream_bodies bodies_;
    std::string output_; ///< Bytes from nghttp2; those before the offset are sent.
    std::size_t output_offset_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    bool flush_scheduled_ = false;
    bool closed_ = false;
    lifetime lifetime_;
    std::unique_ptr<io_watch> watch_;
};

} // namespace bamboohoist

#endif
