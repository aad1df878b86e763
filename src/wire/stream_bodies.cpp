#include "wire/stream_bodies.hpp"

#include "policy/shedding.hpp"

#include <algorithm>

namespace bamboohoist {

stream_state::stream_state(memory_account& memory)
    : incoming_charge_(memory, memory_use::transit), outgoing_charge_(memory, memory_use::transit)
{
}

stream_bodies::stream_bodies(event_loop& loop) : loop_(loop) {}

stream_state* stream_bodies::find(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : &found->second;
}

void stream_bodies::erase(std::int32_t stream)
{
    streams_.erase(stream);
}

stream_state& stream_bodies::of(std::int32_t stream)
{
    const auto [found, added] = streams_.try_emplace(stream, loop_.memory());
    if (added)
    {
        found->second.started_ = clock_.now();
    }
    return found->second;
}

void stream_bodies::send(stream_state& state, std::string body)
{
    state.outgoing_ = std::move(body);
    state.sent_bytes_ = 0;
    state.outgoing_charge_.resize(state.outgoing_.capacity());
}

void stream_bodies::append(stream_state& state, std::string_view data)
{
    std::string& body = state.incoming_.body_;
    state.received_bytes_ += data.size();
    if (state.incoming_.body_dropped_)
    {
        return;
    }
    const std::size_t needed = body.size() + data.size();
    if (needed > body.capacity())
    {
        if (!make_room(state, std::max(needed, 2 * body.capacity())))
        {
            return;
        }
        body.reserve(needed);
        state.incoming_charge_.resize(body.capacity());
    }
    body.append(data);
}

bool stream_bodies::make_room(stream_state& state, std::size_t capacity)
{
    const instant now = clock_.now();
    const auto held = [now](const stream_state& other, std::size_t bytes) {
        return held_body{bytes, other.received_bytes_, now - other.started_};
    };
    while (!state.incoming_charge_.try_resize(capacity))
    {
        stream_state* shed = &state;
        held_body worst = held(state, capacity);
        for (auto& [stream, other] : streams_)
        {
            const held_body candidate = held(other, other.incoming_charge_.bytes());
            const bool unfinished = !other.finished_ && candidate.held_bytes_ > 0;
            if (&other != &state && unfinished && is_shed_before(candidate, worst))
            {
                shed = &other;
                worst = candidate;
            }
        }
        drop(*shed);
        loop_.metrics().add(counter::memory_refused);
        if (shed == &state)
        {
            return false;
        }
    }
    return true;
}

void stream_bodies::drop(stream_state& state)
{
    state.incoming_.body_ = std::string();
    state.incoming_.body_dropped_ = true;
    state.incoming_charge_.resize(0);
}

} // namespace bamboohoist
