#include "wire/stream_session.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist {

namespace {

/// Messages are small compared with this window, so flow control never delays one.
constexpr std::int32_t window_bytes = 1 << 24;
constexpr std::uint32_t max_streams = 4096;
constexpr std::size_t max_message_bytes = 12U << 20U;
constexpr std::size_t read_chunk_bytes = 65536;

nghttp2_nv to_field(const header& field)
{
    // nghttp2 copies the name and the value at submission.
    auto* name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.name_.data()));
    auto* value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.value_.data()));
    return nghttp2_nv{name, value, field.name_.size(), field.value_.size(), NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> to_fields(std::span<const header> fields)
{
    std::vector<nghttp2_nv> converted;
    converted.reserve(fields.size());
    for (const header& field : fields)
    {
        converted.push_back(to_field(field));
    }
    return converted;
}

std::string_view to_view(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

} // namespace

/// The C callbacks of nghttp2, forwarded to the session.
struct stream_session_callbacks
{
    static int header_field(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                            std::size_t name_size, const std::uint8_t* value,
                            std::size_t value_size, std::uint8_t, void* context)
    {
        auto& self = *static_cast<stream_session*>(context);
        auto& state = self.bodies_.of(frame->hd.stream_id);
        state.incoming_.fields_.push_back(
            header{std::string(to_view(name, name_size)), std::string(to_view(value, value_size))});
        return 0;
    }

    static int data_chunk(nghttp2_session*, std::uint8_t, std::int32_t stream,
                          const std::uint8_t* data, std::size_t size, void* context)
    {
        auto& self = *static_cast<stream_session*>(context);
        auto& state = self.bodies_.of(stream);
        if (state.too_large_)
        {
            return 0;
        }
        if (state.received_bytes_ + size > max_message_bytes)
        {
            state.too_large_ = true;
            state.incoming_ = {};
            state.incoming_charge_.resize(0);
            self.reset(stream);
            return 0;
        }
        self.bodies_.append(state, to_view(data, size));
        return 0;
    }

    static int frame_received(nghttp2_session*, const nghttp2_frame* frame, void* context)
    {
        auto& self = *static_cast<stream_session*>(context);
        const bool message_part =
            frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (message_part && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        {
            self.finish_message(frame->hd.stream_id);
        }
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0)
        {
            self.listener_.on_pong();
        }
        return self.closed_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
    }

    static int stream_closed(nghttp2_session*, std::int32_t stream, std::uint32_t code,
                             void* context)
    {
        auto& self = *static_cast<stream_session*>(context);
        const stream_state* state = self.bodies_.find(stream);
        if (state == nullptr)
        {
            return 0;
        }
        const bool finished = state->finished_;
        self.bodies_.erase(stream);
        // A stream that ends cleanly has delivered its complete message before; any other end is a
        // reset.
        if (code != NGHTTP2_NO_ERROR || !finished)
        {
            self.listener_.on_reset(stream, code == NGHTTP2_REFUSED_STREAM);
        }
        return 0;
    }

    static ssize_t read_body(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer,
                             std::size_t size, std::uint32_t* flags, nghttp2_data_source*,
                             void* context)
    {
        auto& self = *static_cast<stream_session*>(context);
        auto& state = self.bodies_.of(stream);
        const std::size_t remaining = state.outgoing_.size() - state.sent_bytes_;
        const std::size_t count = std::min(remaining, size);
        std::memcpy(buffer, state.outgoing_.data() + state.sent_bytes_, count);
        state.sent_bytes_ += count;
        if (state.sent_bytes_ == state.outgoing_.size())
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            stream_bodies::send(state, {});
        }
        return static_cast<ssize_t>(count);
    }
};

stream_session::stream_session(event_loop& loop, int fd, session_side side,
                               session_listener& listener)
    : loop_(loop), fd_(fd), listener_(listener), bodies_(loop)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    ::nghttp2_session_callbacks_new(&callbacks);
    using forward = stream_session_callbacks;
    ::nghttp2_session_callbacks_set_on_header_callback(callbacks, &forward::header_field);
    ::nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &forward::data_chunk);
    ::nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &forward::frame_received);
    ::nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &forward::stream_closed);
    if (side == session_side::client)
    {
        ::nghttp2_session_client_new(&session_, callbacks, this);
    }
    else
    {
        ::nghttp2_session_server_new(&session_, callbacks, this);
    }
    ::nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 2> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
    }};
    ::nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    ::nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, window_bytes);
    watch_ = std::make_unique<io_watch>(loop_, fd_, [this](io_events ready) { on_ready(ready); });
    watch_->set(io_events::both);
}

stream_session::~stream_session()
{
    closed_ = true;
    watch_.reset();
    ::nghttp2_session_del(session_);
    ::close(fd_);
}

std::optional<std::int32_t> stream_session::request(stream_message message)
{
    if (closed_)
    {
        return std::nullopt;
    }
    const auto fields = to_fields(message.fields_);
    nghttp2_data_provider provider{};
    provider.read_callback = &stream_session_callbacks::read_body;
    const std::int32_t stream =
        ::nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(),
                                 message.body_.empty() ? nullptr : &provider, nullptr);
    if (stream < 0)
    {
        return std::nullopt;
    }
    stream_bodies::send(bodies_.of(stream), std::move(message.body_));
    schedule_flush();
    return stream;
}

void stream_session::respond(std::int32_t stream, stream_message message)
{
    stream_state* state = bodies_.find(stream);
    if (closed_ || state == nullptr)
    {
        return;
    }
    const auto fields = to_fields(message.fields_);
    nghttp2_data_provider provider{};
    provider.read_callback = &stream_session_callbacks::read_body;
    stream_bodies::send(*state, std::move(message.body_));
    ::nghttp2_submit_response(session_, stream, fields.data(), fields.size(),
                              state->outgoing_.empty() ? nullptr : &provider);
    schedule_flush();
}

void stream_session::reset(std::int32_t stream)
{
    if (!closed_)
    {
        ::nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        schedule_flush();
    }
}

void stream_session::ping()
{
    if (!closed_)
    {
        ::nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        schedule_flush();
    }
}

void stream_session::refuse_new_streams()
{
    if (!closed_)
    {
        const std::int32_t last = ::nghttp2_session_get_last_proc_stream_id(session_);
        ::nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
        schedule_flush();
    }
}

std::uint64_t stream_session::bytes_sent() const
{
    return bytes_sent_;
}

std::uint64_t stream_session::bytes_received() const
{
    return bytes_received_;
}

std::size_t stream_session::unsent_bytes() const
{
    return output_.size() - output_offset_;
}

void stream_session::on_ready(io_events events)
{
    const auto alive = lifetime_.watch();
    if (has(events, io_events::read) && !receive())
    {
        if (alive)
        {
            close();
        }
        return;
    }
    if (alive && !closed_ && !flush())
    {
        close_after_reading();
    }
}

bool stream_session::receive()
{
    const auto alive = lifetime_.watch();
    std::array<std::uint8_t, read_chunk_bytes> buffer;
    for (;;)
    {
        const auto received = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (received < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        if (received == 0)
        {
            return false;
        }
        bytes_received_ += static_cast<std::uint64_t>(received);
        const auto consumed =
            ::nghttp2_session_mem_recv(session_, buffer.data(), static_cast<std::size_t>(received));
        if (!alive || consumed < 0)
        {
            return false;
        }
        if (static_cast<std::size_t>(received) < buffer.size())
        {
            return true;
        }
    }
}

bool stream_session::flush()
{
    for (;;)
    {
        if (output_offset_ == output_.size())
        {
            output_.clear();
            output_offset_ = 0;
            const std::uint8_t* data = nullptr;
            ssize_t size = 0;
            // nghttp2 returns one frame per call; several frames are sent in one write.
            while (output_.size() < read_chunk_bytes &&
                   (size = ::nghttp2_session_mem_send(session_, &data)) > 0)
            {
                output_.append(to_view(data, static_cast<std::size_t>(size)));
            }
            if (size < 0)
            {
                return false;
            }
        }
        if (output_.empty())
        {
            watch_->set(io_events::read);
            const bool finished = ::nghttp2_session_want_read(session_) == 0 &&
                                  ::nghttp2_session_want_write(session_) == 0;
            return !finished;
        }
        const auto sent = ::send(fd_, output_.data() + output_offset_,
                                 output_.size() - output_offset_, MSG_NOSIGNAL);
        if (sent < 0)
        {
            // A socket that is still connecting reports ENOTCONN or EAGAIN.
            const bool retry = errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
            watch_->set(io_events::both);
            return retry;
        }
        output_offset_ += static_cast<std::size_t>(sent);
        bytes_sent_ += static_cast<std::uint64_t>(sent);
    }
}

void stream_session::finish_message(std::int32_t stream)
{
    auto& state = bodies_.of(stream);
    if (state.too_large_)
    {
        return;
    }
    state.finished_ = true;
    stream_message message = std::move(state.incoming_);
    state.incoming_charge_.resize(0);
    listener_.on_message(stream, std::move(message));
}

void stream_session::schedule_flush()
{
    if (flush_scheduled_)
    {
        return;
    }
    flush_scheduled_ = true;
    loop_.defer([this, alive = lifetime_.watch()] {
        if (!alive)
        {
            return;
        }
        flush_scheduled_ = false;
        if (!closed_ && !flush())
        {
            close_after_reading();
        }
    });
}

void stream_session::close_after_reading()
{
    const auto alive = lifetime_.watch();
    // What the peer sent before the connection ended still counts.
    receive();
    if (alive)
    {
        close();
    }
}

void stream_session::close()
{
    if (!closed_)
    {
        closed_ = true;
        watch_->set(io_events::none);
        listener_.on_closed();
    }
}

} // namespace bamboohoist
