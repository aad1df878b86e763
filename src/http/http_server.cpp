#include "http/http_server.hpp"

#include "core/error.hpp"
#include "core/log.hpp"
#include "http/request_framing.hpp"
#include "http/response_writer.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist {

namespace {

/// A request body over the limit is read and discarded, so that the caller receives the error
/// response instead of a reset connection. Beyond this multiple of the limit the connection is
/// closed.
constexpr std::size_t discard_factor = 8;

/// A request that was given up because of the memory limit may go on arriving for this long, so
/// that its caller receives the response.
constexpr duration shed_arrival_limit = std::chrono::seconds(5);
/// By default the kernel keeps up to 4 MiB for a caller that reads nothing, which belongs to the
/// memory of the VM but to no account.
constexpr int send_buffer_bytes = 131072;

constexpr duration slow_check_period = std::chrono::seconds(1);
constexpr std::string_view unclear_end_body =
    R"({"error":"bad-request","detail":"the end of the body is not clear","outcome":"not-run"})";
constexpr std::string_view too_large_body = R"({"error":"body-too-large","outcome":"not-run"})";
constexpr std::string_view memory_limit_body =
    R"({"error":"overloaded","detail":"the memory limit of this node leaves no room for the body","outcome":"not-run"})";
constexpr std::string_view memory_retry_s = "1";

MHD_Result collect_header(void* context, MHD_ValueKind, const char* name, const char* value)
{
    auto& headers = *static_cast<header_list*>(context);
    headers.push_back(header{name, value == nullptr ? "" : value});
    return MHD_YES;
}

} // namespace

/// The C callbacks of libmicrohttpd, forwarded to the server.
struct http_server_callbacks
{
    static MHD_Result access(void* context, MHD_Connection*, const char* url, const char* method,
                             const char*, const char* data, std::size_t* size, void** slot)
    {
        static_cast<void>(url);
        auto& self = *static_cast<http_server*>(context);
        auto* item = static_cast<exchange*>(*slot);
        if (!item->headers_received_)
        {
            return static_cast<MHD_Result>(begin(self, method, slot));
        }
        if (*size > 0)
        {
            const int result = self.append_body(*item, std::string_view(data, *size));
            *size = 0;
            return static_cast<MHD_Result>(result);
        }
        if (item->completed_)
        {
            return static_cast<MHD_Result>(self.send_response(*item));
        }
        return static_cast<MHD_Result>(self.dispatch(*item));
    }

    static int begin(http_server& self, const char* method, void** slot)
    {
        auto* item = static_cast<exchange*>(*slot);
        item->headers_received_ = true;
        return self.accept_headers(*item, method, item->request_.target_.c_str());
    }

    static void* log_uri(void* context, const char* uri, MHD_Connection* connection)
    {
        auto& self = *static_cast<http_server*>(context);
        auto* item = new exchange(self, connection, self.loop_.memory(), self.options_.body_use_);
        intrusive_ptr_add_ref(item);
        item->request_.target_ = uri;
        item->transfer_started_ = self.clock_.now();
        self.exchanges_.push_back(*item);
        return item;
    }

    static void connection_changed(void*, MHD_Connection* connection, void**,
                                   MHD_ConnectionNotificationCode code)
    {
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
        {
            const int fd = ::MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
                               ->connect_fd;
            ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
        }
    }

    static void completed(void* context, MHD_Connection*, void** slot,
                          MHD_RequestTerminationCode code)
    {
        auto& self = *static_cast<http_server*>(context);
        auto* item = static_cast<exchange*>(*slot);
        if (item == nullptr)
        {
            return;
        }
        self.finish(*item, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
        *slot = nullptr;
        intrusive_ptr_release(item);
    }
};

http_server::http_server(event_loop& loop, http_server_options options, handler on_request)
    : loop_(loop), options_(std::move(options)), on_request_(std::move(on_request)),
      timeout_(loop, [this] { run_daemon(); }),
      slow_timer_(loop, [this] { close_slow_connections(); }),
      memory_(exchanges_, loop.memory(), loop.metrics(), clock_, options_.on_refused_)
{
}

http_server::~http_server()
{
    stop();
}

std::string_view http_server::name() const
{
    return options_.name_;
}

bool http_server::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options_.port_);
    if (::inet_pton(AF_INET, options_.address_.c_str(), &address.sin_addr) != 1)
    {
        fail(error_kind::bad_settings,
             options_.name_ + ": not an IPv4 address: " + options_.address_);
        return false;
    }
    const std::array<MHD_OptionItem, 9> items{{
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<intptr_t>(options_.max_header_bytes_),
         nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options_.max_connections_), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options_.idle_timeout_s_), nullptr},
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&http_server_callbacks::completed),
         this},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&http_server_callbacks::log_uri),
         this},
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<intptr_t>(&http_server_callbacks::connection_changed), this},
        {MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr},
    }};
    daemon_ = ::MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options_.port_, nullptr,
                                 nullptr, &http_server_callbacks::access, this, MHD_OPTION_ARRAY,
                                 items.data(), MHD_OPTION_END);
    if (daemon_ == nullptr)
    {
        fail(error_kind::bad_settings, options_.name_ + ": cannot listen on " + options_.address_ +
                                           ":" + std::to_string(options_.port_) + ": " +
                                           std::strerror(errno));
        return false;
    }
    port_ = ::MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
    const int epoll_fd = ::MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->listen_fd;
    watch_ = std::make_unique<io_watch>(loop_, epoll_fd, [this](io_events) { run_daemon(); });
    watch_->set(io_events::read);
    quiescing_ = false;
    slow_timer_.repeat(slow_check_period);
    schedule_run();
    return true;
}

void http_server::stop()
{
    if (daemon_ == nullptr)
    {
        return;
    }
    watch_.reset();
    timeout_.cancel();
    slow_timer_.cancel();
    for (exchange& item : exchanges_)
    {
        item.disconnect_watch_.reset();
        if (item.suspended_)
        {
            item.suspended_ = false;
            ::MHD_resume_connection(item.connection_);
        }
    }
    ::MHD_stop_daemon(daemon_);
    daemon_ = nullptr;
    if (listen_fd_ >= 0)
    {
        ::close(listen_fd_);
        listen_fd_ = -1;
    }
}

void http_server::quiesce()
{
    if (daemon_ != nullptr && !quiescing_)
    {
        quiescing_ = true;
        listen_fd_ = ::MHD_quiesce_daemon(daemon_);
        // The kernel has already established the connections in the accept queue, and closing the
        // socket would reset them. They are accepted before the socket is closed.
        for (;;)
        {
            sockaddr_storage peer{};
            socklen_t length = sizeof peer;
            const int fd = ::accept4(listen_fd_, reinterpret_cast<sockaddr*>(&peer), &length,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0)
            {
                break;
            }
            ::MHD_add_connection(daemon_, fd, reinterpret_cast<sockaddr*>(&peer), length);
        }
        ::close(listen_fd_);
        listen_fd_ = -1;
        schedule_run();
    }
}

std::uint16_t http_server::port() const
{
    return port_;
}

std::size_t http_server::unfinished() const
{
    return exchanges_.size();
}

int http_server::accept_headers(exchange& item, const char* method, const char*)
{
    item.request_.method_ = method;
    ::MHD_get_connection_values(item.connection_, MHD_HEADER_KIND, &collect_header,
                                &item.request_.headers_);
    if (const auto host = find_header(item.request_.headers_, "Host"))
    {
        item.request_.host_ = std::string(host->substr(0, host->find(':')));
    }
    if (!has_clear_end(item.request_.headers_))
    {
        return refuse(item, json_response(400, std::string(unclear_end_body)));
    }
    item.announced_bytes_ = announced_length(item.request_.headers_);
    const std::size_t announced = item.announced_bytes_.value_or(0);
    const bool waits = find_header(item.request_.headers_, "Expect").has_value();
    if (announced > options_.max_body_bytes_ * discard_factor ||
        (waits && announced > options_.max_body_bytes_))
    {
        return refuse(item, json_response(413, std::string(too_large_body)));
    }
    return MHD_YES;
}

int http_server::append_body(exchange& item, std::string_view data)
{
    item.body_bytes_ += data.size();
    if (item.body_bytes_ > options_.max_body_bytes_ * discard_factor)
    {
        return MHD_NO;
    }
    if (std::max(item.body_bytes_, item.announced_bytes_.value_or(0)) > options_.max_body_bytes_)
    {
        exchange_memory::drop_body(item);
        return MHD_YES;
    }
    memory_.append(item, data);
    return MHD_YES;
}

int http_server::refuse(exchange& item, response_message response)
{
    item.completed_ = true;
    item.response_ = std::move(response);
    return send_response(item);
}

int http_server::dispatch(exchange& item)
{
    if (item.body_bytes_ > options_.max_body_bytes_)
    {
        return refuse(item, json_response(413, std::string(too_large_body)));
    }
    if (item.shed_)
    {
        response_message response = json_response(503, std::string(memory_limit_body));
        response.headers_.push_back(header{"Retry-After", std::string(memory_retry_s)});
        return refuse(item, std::move(response));
    }
    exchange_memory::hand_on(item);
    ::MHD_suspend_connection(item.connection_);
    item.suspended_ = true;
    const exchange_ptr reference(&item);
    on_request_(reference);
    if (!item.completed_)
    {
        watch_for_disconnect(item);
    }
    return MHD_YES;
}

int http_server::send_response(exchange& item)
{
    memory_.send(item);
    const bool close = quiescing_ || !has_clear_end(item.request_.headers_);
    return write_response(item.connection_, item.request_, item.response_, close) ? MHD_YES
                                                                                  : MHD_NO;
}

void http_server::finish(exchange& item, bool)
{
    abandon(item);
    item.closed_ = true;
    item.owner_ = nullptr;
    item.charge_.resize(0);
    item.unlink();
}

void http_server::resume(exchange& item)
{
    item.disconnect_watch_.reset();
    if (item.suspended_)
    {
        item.suspended_ = false;
        item.transfer_started_ = clock_.now();
        ::MHD_resume_connection(item.connection_);
        schedule_run();
    }
}

void http_server::watch_for_disconnect(exchange& item)
{
    // The library does not watch the socket of a suspended connection.
    const int fd =
        ::MHD_get_connection_info(item.connection_, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    exchange* raw = &item;
    item.disconnect_watch_ =
        std::make_unique<io_watch>(loop_, fd, [this, raw](io_events) { check_disconnect(*raw); });
    item.disconnect_watch_->set(io_events::read);
}

void http_server::check_disconnect(exchange& item)
{
    const int fd =
        ::MHD_get_connection_info(item.connection_, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    char byte = 0;
    const auto received = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
    {
        return;
    }
    const exchange_ptr reference(&item);
    // Readable data is a pipelined request: the caller is still connected, and further bytes would
    // not show whether it stays so.
    item.disconnect_watch_.reset();
    if (received <= 0)
    {
        abandon(item);
        item.complete(json_response(499, R"({"error":"cancelled","outcome":"unknown"})"));
    }
}

void http_server::abandon(exchange& item)
{
    item.disconnect_watch_.reset();
    if (item.on_abandoned_ && !item.completed_)
    {
        const auto callback = std::move(item.on_abandoned_);
        item.on_abandoned_ = nullptr;
        callback();
    }
}

void http_server::close_slow_connections()
{
    const instant now = clock_.now();
    std::size_t shed_count = 0;
    for (const exchange& item : exchanges_)
    {
        const bool slow =
            now - item.transfer_started_ > std::chrono::seconds(options_.transfer_timeout_s_);
        const bool shed =
            item.shed_ && !item.completed_ && now - item.shed_at_ > shed_arrival_limit;
        if (!item.suspended_ && (slow || shed))
        {
            shed_count += shed ? 1 : 0;
            exchange_memory::close(item);
        }
    }
    if (shed_count > 0)
    {
        loop_.metrics().add(counter::memory_uploads_closed, shed_count);
        log_failure(options_.name_, "closed " + std::to_string(shed_count) +
                                        " connections whose requests were given up because of the "
                                        "memory limit");
    }
    // Operators' documents and announcements do not give way to callers' uploads.
    if (options_.body_use_ == memory_use::upload)
    {
        memory_.relieve();
    }
}

void http_server::run_daemon()
{
    if (running_ || daemon_ == nullptr)
    {
        return;
    }
    running_ = true;
    ::MHD_run(daemon_);
    running_ = false;
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    if (::MHD_get_timeout(daemon_, &wait_ms) == MHD_YES)
    {
        timeout_.arm(std::chrono::milliseconds(wait_ms));
    }
    else
    {
        timeout_.cancel();
    }
}

void http_server::schedule_run()
{
    if (!run_scheduled_)
    {
        run_scheduled_ = true;
        loop_.defer([this] {
            run_scheduled_ = false;
            run_daemon();
        });
    }
}

} // namespace bamboohoist
