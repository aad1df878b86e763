#include "http/http_server.hpp"

#include "core/error.hpp"

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

/// A body beyond its bound is read and dropped, so that the caller gets its answer and not a reset
/// connection; beyond this multiple of the bound it is cut off.
constexpr std::size_t discard_factor = 8;

constexpr duration slow_check_period = std::chrono::seconds(1);
constexpr std::string_view too_large_body = R"({"error":"body-too-large","outcome":"not-run"})";

MHD_Result collect_header(void* context, MHD_ValueKind, const char* name, const char* value)
{
    auto& headers = *static_cast<header_list*>(context);
    headers.push_back(header{name, value == nullptr ? "" : value});
    return MHD_YES;
}

/// Content reader of answers to HEAD, whose length is announced and never sent.
ssize_t read_nothing(void*, std::uint64_t, char*, std::size_t)
{
    return MHD_CONTENT_READER_END_OF_STREAM;
}

MHD_Response* make_response(const request_message& request, response_message& answer)
{
    const auto length = find_header(answer.headers_, "Content-Length");
    if (request.method_ == "HEAD" && length)
    {
        const auto size = std::strtoull(std::string(*length).c_str(), nullptr, 10);
        return ::MHD_create_response_from_callback(size, 1, &read_nothing, nullptr, nullptr);
    }
    return ::MHD_create_response_from_buffer(answer.body_.size(), answer.body_.data(),
                                             MHD_RESPMEM_MUST_COPY);
}

} // namespace

/// The C callbacks of libmicrohttpd, forwarded to the front end.
struct http_server_callbacks
{
    static MHD_Result access(void* context, MHD_Connection*, const char* url, const char* method,
                             const char*, const char* data, std::size_t* size, void** slot)
    {
        static_cast<void>(url);
        auto& self = *static_cast<http_server*>(context);
        auto* item = static_cast<exchange*>(*slot);
        if (!item->begun_)
        {
            return static_cast<MHD_Result>(begin(self, method, slot));
        }
        if (*size > 0)
        {
            const int result = self.take_body(*item, data, *size);
            *size = 0;
            return static_cast<MHD_Result>(result);
        }
        if (item->completed_)
        {
            return static_cast<MHD_Result>(self.send_answer(*item));
        }
        return static_cast<MHD_Result>(self.dispatch(*item));
    }

    static int begin(http_server& self, const char* method, void** slot)
    {
        auto* item = static_cast<exchange*>(*slot);
        item->begun_ = true;
        return self.accept_headers(*item, method, item->request_.target_.c_str());
    }

    static void* log_uri(void* context, const char* uri, MHD_Connection* connection)
    {
        auto& self = *static_cast<http_server*>(context);
        auto* item = new exchange(self, connection);
        intrusive_ptr_add_ref(item);
        item->request_.target_ = uri;
        item->moving_since_ = self.clock_.now();
        self.open_.push_back(*item);
        return item;
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

exchange::exchange(http_server& owner, MHD_Connection* connection)
    : owner_(&owner), connection_(connection)
{
}

const request_message& exchange::request() const
{
    return request_;
}

void exchange::complete(response_message answer)
{
    if (completed_ || closed_ || owner_ == nullptr)
    {
        return;
    }
    response_ = std::move(answer);
    completed_ = true;
    on_abandoned_ = nullptr;
    owner_->resume(*this);
}

bool exchange::closed() const
{
    return closed_ || completed_ || owner_ == nullptr;
}

void exchange::on_abandoned(std::function<void()> callback)
{
    on_abandoned_ = std::move(callback);
}

http_server::http_server(event_loop& loop, http_server_options options, handler on_request)
    : loop_(loop), options_(std::move(options)), on_request_(std::move(on_request)),
      timeout_(loop, [this] { run_daemon(); }), slow_timer_(loop, [this] { close_slow(); })
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
    const std::array<MHD_OptionItem, 8> items{{
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<intptr_t>(options_.max_header_bytes_),
         nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options_.max_connections_), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options_.idle_timeout_s_), nullptr},
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&http_server_callbacks::completed),
         this},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&http_server_callbacks::log_uri),
         this},
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
    for (exchange& item : open_)
    {
        item.hang_up_watch_.reset();
        if (item.suspended_)
        {
            item.suspended_ = false;
            ::MHD_resume_connection(item.connection_);
        }
    }
    in_flight_ = 0;
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
        // Connections that wait in the accept queue belong to callers that were promised an
        // answer by the kernel; they are adopted before the socket closes.
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

std::size_t http_server::in_flight() const
{
    return in_flight_;
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
    return MHD_YES;
}

int http_server::take_body(exchange& item, const char* data, std::size_t size)
{
    item.body_bytes_ += size;
    if (item.body_bytes_ > options_.max_body_bytes_ * discard_factor)
    {
        return MHD_NO;
    }
    if (item.body_bytes_ <= options_.max_body_bytes_)
    {
        item.request_.body_.append(data, size);
    }
    return MHD_YES;
}

int http_server::dispatch(exchange& item)
{
    if (item.body_bytes_ > options_.max_body_bytes_)
    {
        item.completed_ = true;
        item.response_ = json_response(413, std::string(too_large_body));
        return send_answer(item);
    }
    ::MHD_suspend_connection(item.connection_);
    item.suspended_ = true;
    ++in_flight_;
    const exchange_ptr keep(&item);
    on_request_(keep);
    if (!item.completed_)
    {
        watch_hang_up(item);
    }
    return MHD_YES;
}

int http_server::send_answer(exchange& item)
{
    response_message& answer = item.response_;
    MHD_Response* response = make_response(item.request_, answer);
    for (const header& field : answer.headers_)
    {
        if (is_hop_by_hop_header(field.name_))
        {
            continue;
        }
        ::MHD_add_response_header(response, field.name_.c_str(), field.value_.c_str());
    }
    if (quiescing_)
    {
        ::MHD_add_response_header(response, "Connection", "close");
    }
    const MHD_Result queued =
        ::MHD_queue_response(item.connection_, static_cast<unsigned>(answer.status_), response);
    ::MHD_destroy_response(response);
    return queued;
}

void http_server::finish(exchange& item, bool)
{
    abandon(item);
    item.closed_ = true;
    item.owner_ = nullptr;
    item.unlink();
}

void http_server::resume(exchange& item)
{
    item.hang_up_watch_.reset();
    if (item.suspended_)
    {
        item.suspended_ = false;
        item.moving_since_ = clock_.now();
        --in_flight_;
        ::MHD_resume_connection(item.connection_);
        schedule_run();
    }
}

void http_server::watch_hang_up(exchange& item)
{
    // The library does not watch the socket of a suspended connection.
    const int fd =
        ::MHD_get_connection_info(item.connection_, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    exchange* raw = &item;
    item.hang_up_watch_ =
        std::make_unique<io_watch>(loop_, fd, [this, raw](io_events) { check_hang_up(*raw); });
    item.hang_up_watch_->set(io_events::read);
}

void http_server::check_hang_up(exchange& item)
{
    const int fd =
        ::MHD_get_connection_info(item.connection_, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    char byte = 0;
    const auto got = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
    {
        return;
    }
    const exchange_ptr keep(&item);
    // Readable data is a pipelined request: the caller is there, and further bytes tell nothing.
    item.hang_up_watch_.reset();
    if (got <= 0)
    {
        abandon(item);
        item.complete(json_response(499, R"({"error":"cancelled","outcome":"unknown"})"));
    }
}

void http_server::abandon(exchange& item)
{
    item.hang_up_watch_.reset();
    if (item.on_abandoned_ && !item.completed_)
    {
        const auto callback = std::move(item.on_abandoned_);
        item.on_abandoned_ = nullptr;
        callback();
    }
}

void http_server::close_slow()
{
    const instant limit = clock_.now() - std::chrono::seconds(options_.transfer_timeout_s_);
    for (const exchange& item : open_)
    {
        if (!item.suspended_ && item.moving_since_ < limit)
        {
            const auto* info =
                ::MHD_get_connection_info(item.connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
            ::shutdown(info->connect_fd, SHUT_RDWR);
        }
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

response_message json_response(int status, std::string body)
{
    response_message answer;
    answer.status_ = status;
    answer.headers_.push_back(header{"Content-Type", "application/json"});
    answer.body_ = std::move(body);
    return answer;
}

} // namespace bamboohoist
