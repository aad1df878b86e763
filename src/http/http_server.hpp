#ifndef BAMBOOHOIST_HTTP_HTTP_SERVER_HPP
#define BAMBOOHOIST_HTTP_HTTP_SERVER_HPP

#include "core/clock.hpp"
#include "core/message.hpp"
#include "core/ref_counted.hpp"
#include "core/supervisor.hpp"
#include "loop/event_loop.hpp"
#include "loop/io_watch.hpp"
#include "loop/timer.hpp"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct MHD_Daemon;
struct MHD_Connection;

namespace bamboohoist {

class http_server;

/// One request of a caller and its response. It belongs to the thread of its server. References to
/// it keep it alive, also after the caller has disconnected.
class exchange : public ref_counted_local<exchange>,
                 public boost::intrusive::list_base_hook<
                     boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    explicit exchange(http_server& owner, MHD_Connection* connection);

    const request_message& request() const;

    /// Sends the response. Does nothing when the caller has disconnected or has its response.
    void complete(response_message response);

    /// True when no response can be sent any more.
    bool closed() const;

    /// The callback runs once when the caller disconnects before it has its response.
    void on_abandoned(std::function<void()> callback);

private:
    friend class http_server;
    friend struct http_server_callbacks;

    http_server* owner_; ///< Null once the server has stopped.
    MHD_Connection* connection_;
    request_message request_;
    response_message response_;
    std::function<void()> on_abandoned_;
    std::unique_ptr<io_watch> disconnect_watch_;
    std::size_t body_bytes_ = 0;    ///< Bytes received, discarded ones included.
    instant transfer_started_;      ///< Start of receiving the request or of sending the response.
    bool headers_received_ = false; ///< The headers are in `request_`.
    bool suspended_ = false;
    bool completed_ = false;
    bool closed_ = false;
};

using exchange_ptr = ref_ptr<exchange>;

/// The address and the limits of an HTTP server.
struct http_server_options
{
    std::string name_;
    std::string address_;                    ///< IPv4 address to bind.
    std::uint16_t port_ = 0;                 ///< 0 selects a free port.
    std::size_t max_body_bytes_ = 1U << 20U; ///< A longer request body gets the response 413.
    std::size_t max_header_bytes_ = 32768;   ///< For the request line and the headers.
    unsigned max_connections_ = 4096;
    unsigned idle_timeout_s_ = 30;     ///< No byte in either direction; 0 is unlimited.
    unsigned transfer_timeout_s_ = 60; ///< For one complete request, and for one complete response.
};

/// An HTTP/1.1 server: one libmicrohttpd daemon in external epoll mode under an event loop.
class http_server : public child
{
public:
    using handler = std::function<void(const exchange_ptr&)>;

    http_server(event_loop& loop, http_server_options options, handler on_request);
    ~http_server() override;

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Stops accepting connections and closes kept-alive ones after their next response.
    void quiesce();

    /// The bound port.
    std::uint16_t port() const;

    /// Number of requests that have begun to arrive and whose response is not completely written.
    std::size_t unfinished() const;

private:
    friend class exchange;
    friend struct http_server_callbacks;

    int accept_headers(exchange& item, const char* method, const char* url);
    int append_body(exchange& item, const char* data, std::size_t size);
    int dispatch(exchange& item);
    int send_response(exchange& item);
    void finish(exchange& item, bool delivered);
    void resume(exchange& item);
    void watch_for_disconnect(exchange& item);
    void check_disconnect(exchange& item);
    void abandon(exchange& item);

    /// Closes connections whose request or response takes longer than the transfer timeout. Callers
    /// that read or write a byte now and then never reach the idle timeout.
    void close_slow_connections();
    void run_daemon();
    void schedule_run();

    event_loop& loop_;
    http_server_options options_;
    handler on_request_;
    MHD_Daemon* daemon_ = nullptr;
    std::unique_ptr<io_watch> watch_;
    timer timeout_;
    system_clock clock_;
    timer slow_timer_;
    std::uint16_t port_ = 0;
    bool running_ = false;
    bool run_scheduled_ = false;
    bool quiescing_ = false;
    int listen_fd_ = -1; ///< Owned after `quiesce()`, -1 before.
    boost::intrusive::list<exchange, boost::intrusive::constant_time_size<false>> exchanges_;
};

/// A response with a status and a JSON body.
response_message json_response(int status, std::string body);

} // namespace bamboohoist

#endif
