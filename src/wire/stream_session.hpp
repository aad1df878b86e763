#ifndef BAMBOOHOIST_WIRE_STREAM_SESSION_HPP
#define BAMBOOHOIST_WIRE_STREAM_SESSION_HPP

#include "core/lifetime.hpp"
#include "loop/event_loop.hpp"
#include "loop/io_watch.hpp"
#include "wire/stream_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

struct nghttp2_session;

namespace bamboohoist {

/// Which side of a connection a session is.
enum class session_side
{
    client,
    server,
};

/// What a session tells its owner. Each call may close the session.
class session_events
{
public:
    virtual ~session_events() = default;

    /// A whole message of the other side has arrived.
    virtual void on_message(std::int32_t stream, stream_message message) = 0;

    /// The other side gave a stream up. `refused` says that it was never worked on.
    virtual void on_reset(std::int32_t stream, bool refused) = 0;

    /// The answer to a ping has arrived.
    virtual void on_pong() = 0;

    /// The connection is gone; no further call follows.
    virtual void on_closed() = 0;
};

/// One nghttp2 session over one TCP socket, carrying whole messages.
class stream_session
{
public:
    /// Takes the ownership of a connected, or connecting, non-blocking socket.
    stream_session(event_loop& loop, int fd, session_side side, session_events& events);
    ~stream_session();

    stream_session(const stream_session&) = delete;
    stream_session& operator=(const stream_session&) = delete;

    /// Client side: opens a stream; empty when no further stream can be opened.
    std::optional<std::int32_t> request(stream_message message);

    /// Server side: answers on a stream; ignored when the stream is gone.
    void respond(std::int32_t stream, stream_message message);

    /// Gives a stream up.
    void reset(std::int32_t stream);

    void ping();

    /// Server side: takes no new streams; those in hand go on.
    void refuse_new_streams();

    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    /// Messages that were accepted for sending and have not left the process.
    std::size_t unsent() const;

private:
    friend struct stream_session_callbacks;

    struct stream_state
    {
        stream_message incoming_;
        std::string outgoing_;
        std::size_t sent_ = 0;
        bool finished_ = false; ///< The whole incoming message was handed on.
    };

    void on_ready(io_events events);
    bool receive();
    bool flush();
    void schedule_flush();
    void close();
    void submit_body(std::int32_t stream, std::string body);

    event_loop& loop_;
    int fd_;
    session_events& events_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<std::int32_t, stream_state> streams_;
    std::string output_; ///< Bytes of nghttp2 that the socket has not taken.
    std::size_t output_at_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    bool flush_scheduled_ = false;
    bool closed_ = false;
    lifetime lifetime_;
    std::unique_ptr<io_watch> watch_;
};

} // namespace bamboohoist

#endif
