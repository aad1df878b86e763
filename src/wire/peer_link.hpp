#ifndef BAMBOOHOIST_WIRE_PEER_LINK_HPP
#define BAMBOOHOIST_WIRE_PEER_LINK_HPP

#include "loop/timer.hpp"
#include "wire/endpoint.hpp"
#include "wire/stream_session.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace bamboohoist {

/// Why a call to a peer ended without a response.
enum class call_failure
{
    not_sent, ///< The peer certainly did not receive the complete call.
    refused,  ///< The peer reported that it did not process the call.
    lost,     ///< The peer may have received the call.
};

/// The result of one call: a response or a failure.
struct call_result
{
    std::optional<stream_message> response_;
    call_failure failure_ = call_failure::lost; ///< Meaningful only without a response.
};

/// The client side of a connection to one peer. Connects on demand, and sends pings while calls
/// are in flight to detect a path on which nothing arrives.
class peer_link : private session_listener
{
public:
    using call_id = std::uint64_t;
    using callback = std::function<void(call_result)>;

    peer_link(event_loop& loop, endpoint remote);
    ~peer_link() override;

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Sends a call; the callback runs later, once, unless the call is cancelled.
    call_id call(stream_message message, callback on_end);

    /// Cancels a call. Its callback does not run.
    void cancel(call_id id);

    /// Sends a ping; the peer's ack counts as received bytes.
    void ping();

    const endpoint& remote() const;
    std::size_t in_flight() const;
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    struct pending_call
    {
        std::int32_t stream_ = 0;
        callback on_end_;
    };

    void on_message(std::int32_t stream, stream_message message) override;
    void on_reset(std::int32_t stream, bool refused) override;
    void on_pong() override;
    void on_closed() override;

    bool connect();
    void close_session();
    void check_path();
    void end_call(std::int32_t stream, call_result result);

    event_loop& loop_;
    endpoint remote_;
    std::unique_ptr<stream_session> session_;
    timer path_timer_;
    bool pong_received_ = true;
    std::uint64_t bytes_at_last_check_ = 0;
    unsigned silent_checks_ = 0;
    call_id next_id_ = 1;
    std::unordered_map<call_id, pending_call> calls_;
    std::unordered_map<std::int32_t, call_id> calls_by_stream_;
    std::uint64_t closed_bytes_sent_ = 0;
    std::uint64_t closed_bytes_received_ = 0;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
