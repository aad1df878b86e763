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

/// One request of a caller and the place where its answer goes. It lives on the thread of its
/// front end and is kept alive by whoever still works on it, also after the caller has gone.
class exchange : public ref_counted_local<exchange>,
                 public boost::intrusive::list_base_hook<
                     boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    explicit exchange(http_server& owner, MHD_Connection* connection);

    const request_message& request() const;

    /// Sends the answer. Does nothing when the caller has gone or was answered before.
    void complete(response_message answer);

    /// True when no answer can reach the caller any more.
    bool closed() const;

    /// Called once when the caller goes away before it was answered.
    void on_abandoned(std::function<void()> callback);

private:
    friend class http_server;
    friend struct http_server_callbacks;

    http_server* owner_; ///< Null once the front end has stopped.
    MHD_Connection* connection_;
    request_message request_;
    response_message response_;
    std::function<void()> on_abandoned_;
    std::unique_ptr<io_watch> hang_up_watch_;
    std::size_t body_bytes_ = 0; ///< Bytes received, kept or not.
    instant moving_since_;       ///< Since when the request comes in, or the answer goes out.
    bool begun_ = false;         ///< The headers have been handed on.
    bool suspended_ = false;
    bool completed_ = false;
    bool closed_ = false;
};

using exchange_ptr = ref_ptr<exchange>;

/// Where and within which bounds a front end listens.
struct http_server_options
{
    std::string name_;
    std::string address_;                    ///< IPv4 address to bind.
    std::uint16_t port_ = 0;                 ///< 0 lets the system choose.
    std::size_t max_body_bytes_ = 1U << 20U; ///< Bytes; a longer request body is answered with 413.
    std::size_t max_header_bytes_ = 32768;   ///< Bytes for the request line and headers.
    unsigned max_connections_ = 4096;
    unsigned idle_timeout_s_ = 30;     ///< Without a byte in either direction.
    unsigned transfer_timeout_s_ = 60; ///< For one whole request, and for one whole answer.
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

    /// Stops taking new connections and closes kept-alive ones after their next answer.
    void quiesce();

    /// The bound port.
    std::uint16_t port() const;

    /// Number of requests that were handed on and not yet answered.
    std::size_t in_flight() const;

private:
    friend class exchange;
    friend struct http_server_callbacks;

    int accept_headers(exchange& item, const char* method, const char* url);
    int take_body(exchange& item, const char* data, std::size_t size);
    int dispatch(exchange& item);
    int send_answer(exchange& item);
    void finish(exchange& item, bool delivered);
    void resume(exchange& item);
    void watch_hang_up(exchange& item);
    void check_hang_up(exchange& item);
    void abandon(exchange& item);

    /// Closes connections whose request or answer has been moving for too long: callers that read
    /// or write a byte now and then would hold them for ever.
    void close_slow();
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
    boost::intrusive::list<exchange, boost::intrusive::constant_time_size<false>> open_;
    std::size_t in_flight_ = 0;
};

/// An answer that the product makes itself: a status, its headers and a JSON body.
response_message json_response(int status, std::string body);

} // namespace bamboohoist

#endif
