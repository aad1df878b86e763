#include "wire/peer_link.hpp"

namespace bamboohoist {

namespace {

constexpr duration path_check_period = std::chrono::milliseconds(250);
/// The connection is closed when nothing has arrived for this many checks while a ping is pending.
constexpr unsigned max_silent_checks = 4;

} // namespace

peer_link::peer_link(event_loop& loop, endpoint remote)
    : loop_(loop), remote_(std::move(remote)), path_timer_(loop, [this] { check_path(); })
{
}

peer_link::~peer_link() = default;

peer_link::call_id peer_link::call(stream_message message, callback on_end)
{
    const call_id id = next_id_++;
    std::optional<std::int32_t> stream;
    if (session_ || connect())
    {
        stream = session_->request(std::move(message));
    }
    if (!stream)
    {
        calls_.emplace(id, pending_call{0, std::move(on_end)});
        loop_.defer([this, id, alive = lifetime_.watch()] {
            const auto found = alive ? calls_.find(id) : calls_.end();
            if (!alive || found == calls_.end())
            {
                return;
            }
            const callback notify = std::move(found->second.on_end_);
            calls_.erase(found);
            notify(call_result{std::nullopt, call_failure::not_sent});
        });
        return id;
    }
    if (calls_.empty())
    {
        silent_checks_ = 0;
        path_timer_.repeat(path_check_period);
    }
    calls_.emplace(id, pending_call{*stream, std::move(on_end)});
    calls_by_stream_.emplace(*stream, id);
    return id;
}

void peer_link::cancel(call_id id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    const std::int32_t stream = found->second.stream_;
    calls_.erase(found);
    calls_by_stream_.erase(stream);
    if (session_ && stream != 0)
    {
        session_->reset(stream);
    }
}

void peer_link::ping()
{
    if (session_)
    {
        session_->ping();
    }
}

const endpoint& peer_link::remote() const
{
    return remote_;
}

std::size_t peer_link::in_flight() const
{
    return calls_.size();
}

std::uint64_t peer_link::bytes_sent() const
{
    return closed_bytes_sent_ + (session_ ? session_->bytes_sent() : 0);
}

std::uint64_t peer_link::bytes_received() const
{
    return closed_bytes_received_ + (session_ ? session_->bytes_received() : 0);
}

void peer_link::on_message(std::int32_t stream, stream_message message)
{
    end_call(stream, call_result{std::move(message), call_failure::lost});
}

void peer_link::on_reset(std::int32_t stream, bool refused)
{
    end_call(stream,
             call_result{std::nullopt, refused ? call_failure::refused : call_failure::lost});
}

void peer_link::on_pong()
{
    pong_received_ = true;
    silent_checks_ = 0;
}

void peer_link::on_closed()
{
    close_session();
}

bool peer_link::connect()
{
    const int fd = open_connection(remote_);
    if (fd < 0)
    {
        return false;
    }
    bytes_at_last_check_ = 0;
    pong_received_ = true;
    silent_checks_ = 0;
    session_ = std::make_unique<stream_session>(loop_, fd, session_side::client,
                                                static_cast<session_listener&>(*this));
    return true;
}

void peer_link::close_session()
{
    if (!session_)
    {
        return;
    }
    closed_bytes_sent_ += session_->bytes_sent();
    closed_bytes_received_ += session_->bytes_received();
    // No byte left this process when the connection was never established.
    const bool sent = session_->bytes_sent() > 0;
    // The session may be on the call stack, so it is deleted after the current event.
    auto* closing = session_.release();
    loop_.defer([closing] { delete closing; });
    path_timer_.cancel();
    const auto calls = std::move(calls_);
    calls_.clear();
    calls_by_stream_.clear();
    const auto failure = sent ? call_failure::lost : call_failure::not_sent;
    for (const auto& [id, entry] : calls)
    {
        entry.on_end_(call_result{std::nullopt, failure});
    }
}

void peer_link::check_path()
{
    if (calls_.empty() || !session_)
    {
        path_timer_.cancel();
        return;
    }
    if (session_->bytes_received() != bytes_at_last_check_)
    {
        bytes_at_last_check_ = session_->bytes_received();
        silent_checks_ = 0;
    }
    else if (++silent_checks_ >= max_silent_checks)
    {
        close_session();
        return;
    }
    if (pong_received_)
    {
        pong_received_ = false;
        session_->ping();
    }
}

void peer_link::end_call(std::int32_t stream, call_result result)
{
    const auto found = calls_by_stream_.find(stream);
    if (found == calls_by_stream_.end())
    {
        return;
    }
    const auto entry = calls_.find(found->second);
    const callback notify = std::move(entry->second.on_end_);
    calls_.erase(entry);
    calls_by_stream_.erase(found);
    notify(std::move(result));
}

} // namespace bamboohoist
