#ifndef BAMBOOHOIST_HTTP_HTTP_SERVER_HPP
#define BAMBOOHOIST_HTTP_HTTP_SERVER_HPP

#include "core/clock.hpp"
#include "core/supervisor.hpp"
#include "http/exchange.hpp"
#include "http/exchange_memory.hpp"
#include "loop/event_loop.hpp"
#include "loop/io_watch.hpp"
#include "loop/timer.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace bamboohoist {

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
    /// What bodies count as while they arrive.
    memory_use body_use_ = memory_use::upload;
    /// Called for each request whose body is given up because of the memory limit; may be empty.
    std::function<void(const request_message&, std::size_t body_bytes)> on_refused_ = {};
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
    int append_body(exchange& item, std::string_view data);
    int dispatch(exchange& item);
    int send_response(exchange& item);
    int refuse(exchange& item, response_message response);
    void finish(exchange& item, bool delivered);
    void resume(exchange& item);
    void watch_for_disconnect(exchange& item);
    void check_disconnect(exchange& item);
    void abandon(exchange& item);

    /// Closes connections whose request or response takes longer than the transfer timeout, and
    /// those whose request was given up and still arrives. Callers that read or write a byte now
    /// and then never reach the idle timeout.
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
    exchange_list exchanges_;
    exchange_memory memory_;
};

} // namespace bamboohoist

#endif
