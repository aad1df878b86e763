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

/// Why a call over a link ended without an answer.
enum class call_failure
{
    not_sent, ///< The other side certainly never received the whole call.
    refused,  ///< The other side said that it did not work on the call.
    lost,     ///< The other side may have received the call.
};

/// The end of one call: an answer or a failure.
struct call_result
{
    std::optional<stream_message> response_;
    call_failure failure_ = call_failure::lost; ///< Only without an answer.
};

/// The client end of a connection to one peer. Connects on demand, and detects a silent path by
/// pings while calls are in hand.
class peer_link : private session_events
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

    /// Gives a call up. Its callback does not run.
    void cancel(call_id id);

    /// Asks the other side for a sign of life; the answer counts as received bytes.
    void ping();

    const endpoint& remote() const;
    std::size_t in_flight() const;
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    struct pending
    {
        std::int32_t stream_ = 0;
        callback on_end_;
    };

    void on_message(std::int32_t stream, stream_message message) override;
    void on_reset(std::int32_t stream, bool refused) override;
    void on_pong() override;
    void on_closed() override;

    bool connect();
    void drop_session();
    void check_path();
    void end_call(std::int32_t stream, call_result result);

    event_loop& loop_;
    endpoint remote_;
    std::unique_ptr<stream_session> session_;
    timer path_timer_;
    bool pong_seen_ = true;
    std::uint64_t heard_bytes_ = 0;
    unsigned silent_checks_ = 0;
    call_id next_id_ = 1;
    std::unordered_map<call_id, pending> calls_;
    std::unordered_map<std::int32_t, call_id> by_stream_;
    std::uint64_t past_sent_ = 0;
    std::uint64_t past_received_ = 0;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
