#include "wire/server_connection.hpp"

namespace bamboohoist {

server_connection::server_connection(event_loop& loop, stream_server& server, int fd)
    : server_(server), session_(loop, fd, session_side::server, *this)
{
}

server_connection::~server_connection()
{
    abandon_all();
}

void server_connection::respond(std::int32_t stream, stream_message response)
{
    calls_.erase(stream);
    session_.respond(stream, std::move(response));
}

void server_connection::refuse_new_calls()
{
    session_.refuse_new_streams();
}

std::size_t server_connection::in_flight() const
{
    return calls_.size();
}

const stream_session& server_connection::session() const
{
    return session_;
}

void server_connection::on_message(std::int32_t stream, stream_message message)
{
    const stream_call_ptr call(new stream_call(this, stream, std::move(message)));
    calls_.emplace(stream, call);
    server_.on_call_(call);
}

void server_connection::on_reset(std::int32_t stream, bool)
{
    const auto found = calls_.find(stream);
    if (found != calls_.end())
    {
        const stream_call_ptr call = found->second;
        calls_.erase(found);
        call->abandon();
    }
}

void server_connection::on_pong() {}

void server_connection::on_closed()
{
    server_.remove(*this);
}

void server_connection::abandon_all()
{
    const auto calls = std::move(calls_);
    calls_.clear();
    for (const auto& [stream, call] : calls)
    {
        call->abandon();
    }
}

} // namespace bamboohoist
