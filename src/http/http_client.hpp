#ifndef BAMBOOHOIST_HTTP_HTTP_CLIENT_HPP
#define BAMBOOHOIST_HTTP_HTTP_CLIENT_HPP

#include "core/message.hpp"
#include "http/body_framing.hpp"
#include "http/socket_watch.hpp"
#include "loop/event_loop.hpp"
#include "loop/timer.hpp"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

using CURL = void;
using CURLM = void;

namespace bamboohoist {

/// How a transfer ended.
enum class transfer_end
{
    complete,          ///< A complete response has arrived.
    refused,           ///< No connection; no byte of the request left this process.
    lost,              ///< The connection failed after the request may have been received.
    timed_out,         ///< The deadline passed after the request may have been received.
    connect_timed_out, ///< The deadline passed before a connection was established.
    too_large,         ///< The response's head or body exceeded its limit.
    foreign,           ///< The head was not that of a response to the request.
};

/// The result of one transfer.
struct transfer_result
{
    transfer_end end_ = transfer_end::lost;
    response_message response_; ///< Only when complete.
    int status_ = 0;            ///< Of the head that has arrived; 0 without one.
    body_framing framing_ = body_framing::none;
    std::size_t body_bytes_ = 0;     ///< Received, also when the response is not complete.
    bool reused_connection_ = false; ///< The connection had carried a request before.
    bool no_room_ = false;           ///< Too large for the memory that this process has left now.
    bool sent_again_ = false; ///< The request was sent after a first copy, which may have been run.
    std::string detail_;      ///< Human-readable reason when not complete.
    duration elapsed_{};      ///< From the start of the transfer.
};

/// One request to a server named by address and port.
struct transfer_request
{
    std::string server_; ///< `address:port`.
    request_message message_;
    duration timeout_{};
    std::size_t max_response_bytes_ = 8U << 20U; ///< Of the body.
    bool fresh_connection_ = false;              ///< Send over a new connection only.
    bool repeatable_ = false; ///< May be sent again when a reused connection is dead.
    /// Whether a head, which comes without its body, belongs to the request; `reused_connection`
    /// tells whether it may be that of an earlier one. When it does not, the connection is closed,
    /// because the right response may follow on it. Empty accepts all.
    std::function<bool(const response_message&, bool reused_connection)> accept_head_;
};

/// An HTTP/1.1 client: one libcurl multi handle under an event loop. A request is sent at most
/// once, whatever happens to its connection, unless it is marked as repeatable.
class http_client
{
public:
    using transfer_id = std::uint64_t;
    using callback = std::function<void(transfer_result)>;

    http_client(event_loop& loop, long max_connections_per_server);
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Transfers beyond the limit wait for a connection; the wait counts towards their timeout.
    void limit_connections(long max_connections_per_server);

    /// Starts a transfer; the callback runs later on the loop's thread.
    transfer_id start(transfer_request request, callback on_end);

    /// Cancels a transfer and closes its connection. The callback does not run.
    void cancel(transfer_id id);

    /// Bytes of the response bodies that are being received. When they exceed 16 MiB, or the memory
    /// account of the loop has no room for more, the largest body is cut off as too large.
    std::size_t buffered_bytes() const;

private:
    struct transfer;
    friend struct http_client_callbacks;

    /// Makes room for the next bytes of a body, by cutting off bodies, possibly this one.
    void add_buffered(transfer& item, std::size_t bytes);
    /// Cuts off the largest body; `item` when no other holds any memory.
    transfer& cut_largest(transfer& item);
    void drop_body(transfer& item);
    void prepare(transfer& item);
    void watch_socket(int fd, int action);
    void perform(int fd, int events);
    void collect_finished();
    void finish(transfer& item, int code);
    static void describe_body(const transfer& item, transfer_result& result);
    void release_handles(transfer& item);

    event_loop& loop_;
    CURLM* multi_;
    timer timeout_;
    std::unordered_map<int, std::unique_ptr<socket_watch>> watches_;
    std::unordered_map<transfer_id, std::unique_ptr<transfer>> transfers_;
    transfer_id next_id_ = 1;
    std::size_t buffered_bytes_ = 0;
    bool performing_ = false;
};

} // namespace bamboohoist

#endif
