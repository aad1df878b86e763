#ifndef BAMBOOHOIST_WIRE_STREAM_BODIES_HPP
#define BAMBOOHOIST_WIRE_STREAM_BODIES_HPP

#include "core/clock.hpp"
#include "core/memory_account.hpp"
#include "loop/event_loop.hpp"
#include "wire/stream_message.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboohoist {

/// The messages in both directions of one stream.
struct stream_state
{
    explicit stream_state(memory_account& memory);

    stream_message incoming_;
    std::string outgoing_;
    memory_charge incoming_charge_;
    memory_charge outgoing_charge_;
    std::size_t received_bytes_ = 0; ///< Of the incoming body, dropped ones included.
    std::size_t sent_bytes_ = 0;
    instant started_;
    bool finished_ = false;  ///< The complete incoming message was passed to the listener.
    bool too_large_ = false; ///< The rest of the incoming message is discarded.
};

/// The streams of one session, and their bodies within the memory account of the loop.
class stream_bodies
{
public:
    explicit stream_bodies(event_loop& loop);

    /// The state of a stream, which is added when it is new.
    stream_state& of(std::int32_t stream);
    /// Null when there is no such stream.
    stream_state* find(std::int32_t stream);
    void erase(std::int32_t stream);

    /// Adds received bytes to an incoming body, unless it was dropped.
    void append(stream_state& state, std::string_view data);

    /// Sets the outgoing body.
    static void send(stream_state& state, std::string body);

private:
    /// Makes room for the incoming body of a stream by dropping those of streams that are to be
    /// shed before it. False when its own body was dropped.
    bool make_room(stream_state& state, std::size_t capacity);
    static void drop(stream_state& state);

    event_loop& loop_;
    system_clock clock_;
    std::unordered_map<std::int32_t, stream_state> streams_;
};

} // namespace bamboohoist

#endif
