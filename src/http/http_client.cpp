#include "http/http_client.hpp"

#include "http/response_head.hpp"
#include "http/transfer_body.hpp"
#include "loop/keep_alive.hpp"

#include <algorithm>
#include <curl/curl.h>

namespace bamboohoist {

namespace {

/// Of the bodies that all transfers of a client hold at the same time.
constexpr std::size_t max_buffered_bytes = 16U << 20U;

} // namespace

/// State of one transfer between `start()` and its end.
struct http_client::transfer
{
    explicit transfer(memory_account& memory)
        : request_charge_(memory, memory_use::transit), charge_(memory, memory_use::transit)
    {
    }

    http_client* owner_ = nullptr;
    transfer_id id_ = 0;
    transfer_request request_;
    callback on_end_;
    CURL* easy_ = nullptr;
    curl_slist* headers_ = nullptr;
    memory_charge request_charge_; ///< For the body of the request.
    /// For the body of the response. A charge of its own, so that a small response may use the
    /// reserve whatever its request holds.
    memory_charge charge_;
    response_message response_;
    std::size_t dropped_bytes_ = 0; ///< Of a body that was cut off.
    response_head head_;
    unsigned send_count_ = 0; ///< How often the request was about to be written to a connection.
    bool too_large_ = false;
    bool no_room_ = false; ///< The body was cut off for the memory account, not for its own size.
    bool foreign_ = false;
    bool malformed_ = false; ///< The bytes are not those of one response.
    /// libcurl can miss a timeout: it removes it from its list shortly before it has expired.
    std::unique_ptr<timer> deadline_;
};

/// The C callbacks of libcurl, forwarded to the client.
struct http_client_callbacks
{
    static int socket(CURL*, curl_socket_t fd, int action, void* context, void*)
    {
        static_cast<http_client*>(context)->watch_socket(fd, action);
        return 0;
    }

    static int connected(void*, curl_socket_t fd, curlsocktype)
    {
        enable_keep_alive(fd);
        return CURL_SOCKOPT_OK;
    }

    static int timeout(CURLM*, long wait_ms, void* context)
    {
        auto& self = *static_cast<http_client*>(context);
        if (wait_ms < 0)
        {
            self.timeout_.cancel();
        }
        else
        {
            self.timeout_.arm(std::chrono::milliseconds(wait_ms));
        }
        return 0;
    }

    static std::size_t body(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& item = *static_cast<http_client::transfer*>(context);
        const std::size_t received = size * count;
        if (item.response_.body_.size() + received > item.request_.max_response_bytes_)
        {
            item.too_large_ = true;
        }
        if (!item.too_large_)
        {
            item.owner_->add_buffered(item, received);
        }
        if (!item.too_large_)
        {
            item.response_.body_.append(data, received);
        }
        return item.too_large_ ? 0 : received;
    }

    static std::size_t header_line(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& item = *static_cast<http_client::transfer*>(context);
        const std::string_view line(data, size * count);
        switch (item.head_.add_line(line))
        {
        case head_line::part:
            return line.size();
        case head_line::end:
            return accept_head(item) ? line.size() : 0;
        case head_line::malformed:
            item.malformed_ = true;
            return 0;
        case head_line::too_large:
            break;
        }
        item.too_large_ = true;
        return 0;
    }

    static bool accept_head(http_client::transfer& item)
    {
        long status = 0;
        ::curl_easy_getinfo(item.easy_, CURLINFO_RESPONSE_CODE, &status);
        if (status < first_final_status)
        {
            return true;
        }
        item.response_.status_ = static_cast<int>(status);
        item.response_.headers_ = item.head_.complete();
        const auto& accepts = item.request_.accept_head_;
        item.foreign_ = accepts && !accepts(item.response_, uses_old_connection(item.easy_));
        return !item.foreign_;
    }

    static int before_send(void* context, char*, char*, int, int)
    {
        auto& item = *static_cast<http_client::transfer*>(context);
        ++item.send_count_;
        // libcurl sends a request again by itself when a reused connection turns out to be dead.
        // The server may have run the first copy, so the second is allowed only for requests that
        // may be repeated.
        const unsigned max_sends = item.request_.repeatable_ ? 2 : 1;
        return item.send_count_ <= max_sends ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
    }
};

http_client::http_client(event_loop& loop, long max_connections_per_server)
    : loop_(loop), multi_(::curl_multi_init()),
      timeout_(loop, [this] { perform(CURL_SOCKET_TIMEOUT, 0); })
{
    ::curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &http_client_callbacks::socket);
    ::curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    ::curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &http_client_callbacks::timeout);
    ::curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    limit_connections(max_connections_per_server);
}

http_client::~http_client()
{
    for (auto& [id, item] : transfers_)
    {
        release_handles(*item);
    }
    transfers_.clear();
    ::curl_multi_cleanup(multi_);
}

void http_client::limit_connections(long max_connections_per_server)
{
    ::curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, max_connections_per_server);
}

http_client::transfer_id http_client::start(transfer_request request, callback on_end)
{
    auto item = std::make_unique<transfer>(loop_.memory());
    item->owner_ = this;
    item->id_ = next_id_++;
    item->request_ = std::move(request);
    item->on_end_ = std::move(on_end);
    item->request_charge_.resize(item->request_.message_.body_.capacity());
    prepare(*item);
    item->deadline_ = std::make_unique<timer>(
        loop_, [this, raw = item.get()] { finish(*raw, CURLE_OPERATION_TIMEDOUT); });
    item->deadline_->arm(item->request_.timeout_);
    ::curl_multi_add_handle(multi_, item->easy_);
    const transfer_id id = item->id_;
    transfers_.emplace(id, std::move(item));
    return id;
}

void http_client::cancel(transfer_id id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
    {
        return;
    }
    const std::unique_ptr<transfer> item = std::move(found->second);
    transfers_.erase(found);
    buffered_bytes_ -= item->response_.body_.size();
    release_handles(*item);
}

std::size_t http_client::buffered_bytes() const
{
    return buffered_bytes_;
}

void http_client::add_buffered(transfer& item, std::size_t bytes)
{
    buffered_bytes_ += bytes;
    std::string& body = item.response_.body_;
    const std::size_t needed = body.size() + bytes;
    const std::size_t next = std::max(needed, 2 * body.capacity());
    while (!item.too_large_ && buffered_bytes_ > max_buffered_bytes)
    {
        cut_largest(item);
    }
    while (!item.too_large_ && needed > body.capacity() && !item.charge_.try_resize(next))
    {
        cut_largest(item).no_room_ = true;
    }
    if (item.too_large_)
    {
        buffered_bytes_ -= bytes;
        return;
    }
    body.reserve(needed);
}

void http_client::drop_body(transfer& item)
{
    std::string& body = item.response_.body_;
    buffered_bytes_ -= body.size();
    item.dropped_bytes_ = body.size();
    body = std::string();
    item.charge_.resize(0);
}

http_client::transfer& http_client::cut_largest(transfer& item)
{
    // The largest body is the one that is least likely to end. It fails when its next bytes arrive,
    // because libcurl allows no removal here.
    const auto largest = std::ranges::max_element(transfers_, {}, [](const auto& pair) {
        return pair.second->too_large_ ? 0 : pair.second->response_.body_.size();
    });
    transfer& cut = largest->second->response_.body_.empty() ? item : *largest->second;
    cut.too_large_ = true;
    drop_body(cut);
    return cut;
}

void http_client::prepare(transfer& item)
{
    const request_message& message = item.request_.message_;
    CURL* easy = ::curl_easy_init();
    item.easy_ = easy;
    const std::string url = "http://" + item.request_.server_ + message.target_;
    ::curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    ::curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    ::curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, message.method_.c_str());
    ::curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    ::curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    ::curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    ::curl_easy_setopt(easy, CURLOPT_PROXY, "");
    ::curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    ::curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &http_client_callbacks::connected);
    ::curl_easy_setopt(easy, CURLOPT_PRIVATE, &item);
    ::curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &http_client_callbacks::body);
    ::curl_easy_setopt(easy, CURLOPT_WRITEDATA, &item);
    ::curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &http_client_callbacks::header_line);
    ::curl_easy_setopt(easy, CURLOPT_HEADERDATA, &item);
    ::curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &http_client_callbacks::before_send);
    ::curl_easy_setopt(easy, CURLOPT_PREREQDATA, &item);
    ::curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, item.request_.fresh_connection_ ? 1L : 0L);
    if (message.method_ == "HEAD")
    {
        ::curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    else if (!message.body_.empty() || message.method_ == "POST" || message.method_ == "PUT")
    {
        ::curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                           static_cast<curl_off_t>(message.body_.size()));
        ::curl_easy_setopt(easy, CURLOPT_POSTFIELDS, message.body_.data());
    }
    if (!message.host_.empty())
    {
        item.headers_ = ::curl_slist_append(item.headers_, ("Host: " + message.host_).c_str());
    }
    for (const header& field : message.headers_)
    {
        const std::string separator = field.value_.empty() ? ";" : ": ";
        const std::string line = field.name_ + separator + field.value_;
        item.headers_ = ::curl_slist_append(item.headers_, line.c_str());
    }
    for (const char* unwanted : {"Expect:", "Content-Type:", "Accept:"})
    {
        const std::string_view name(unwanted, std::string_view(unwanted).size() - 1);
        if (!find_header(message.headers_, name))
        {
            // Prevents libcurl from adding a field that the caller did not send.
            item.headers_ = ::curl_slist_append(item.headers_, unwanted);
        }
    }
    ::curl_easy_setopt(easy, CURLOPT_HTTPHEADER, item.headers_);
}

void http_client::watch_socket(int fd, int action)
{
    if (action == CURL_POLL_REMOVE)
    {
        watches_.erase(fd);
        return;
    }
    auto& watch = watches_[fd];
    if (!watch)
    {
        watch = std::make_unique<socket_watch>(loop_, fd, [this, fd](io_events events) {
            perform(fd, events == io_events::read ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
        });
    }
    switch (action)
    {
    case CURL_POLL_IN:
        watch->set(io_events::read);
        break;
    case CURL_POLL_OUT:
        watch->set(io_events::write);
        break;
    case CURL_POLL_INOUT:
        watch->set(io_events::both);
        break;
    default:
        watch->set(io_events::none);
        break;
    }
}

void http_client::perform(int fd, int events)
{
    if (performing_)
    {
        return;
    }
    performing_ = true;
    int running = 0;
    ::curl_multi_socket_action(multi_, fd, events, &running);
    performing_ = false;
    collect_finished();
}

void http_client::collect_finished()
{
    int left = 0;
    while (const CURLMsg* message = ::curl_multi_info_read(multi_, &left))
    {
        if (message->msg != CURLMSG_DONE)
        {
            continue;
        }
        transfer* item = nullptr;
        const int code = message->data.result;
        ::curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &item);
        finish(*item, code);
    }
}

void http_client::finish(transfer& item, int code)
{
    transfer_result result;
    buffered_bytes_ -= item.response_.body_.size();
    result.detail_ = ::curl_easy_strerror(static_cast<CURLcode>(code));
    curl_off_t elapsed_us = 0;
    ::curl_easy_getinfo(item.easy_, CURLINFO_TOTAL_TIME_T, &elapsed_us);
    result.elapsed_ = std::chrono::microseconds(elapsed_us);
    long status = 0;
    ::curl_easy_getinfo(item.easy_, CURLINFO_RESPONSE_CODE, &status);
    item.response_.status_ = static_cast<int>(status);
    describe_body(item, result);
    item.malformed_ |= code == CURLE_OK && result.framing_ == body_framing::length &&
                       holds_next_response(item.easy_, item.response_);
    // A body may have been cut after its last bytes had come, which libcurl then does not report.
    const bool whole = item.head_.is_complete() && !item.malformed_ && !item.too_large_;
    if (code == CURLE_OK && whole)
    {
        result.end_ = transfer_end::complete;
        result.response_ = std::move(item.response_);
    }
    else if (item.foreign_)
    {
        result.end_ = transfer_end::foreign;
        result.detail_ = "the response belongs to another request";
    }
    else if (item.too_large_)
    {
        result.end_ = transfer_end::too_large;
        result.no_room_ = item.no_room_;
    }
    else if (code == CURLE_OPERATION_TIMEDOUT)
    {
        result.end_ =
            item.send_count_ == 0 ? transfer_end::connect_timed_out : transfer_end::timed_out;
    }
    else
    {
        // libcurl reports success also when the connection ends within the head.
        result.end_ = item.send_count_ == 0 ? transfer_end::refused : transfer_end::lost;
        result.detail_ = item.malformed_    ? "the bytes are not those of one response"
                         : code == CURLE_OK ? "the connection ended within the head"
                                            : result.detail_;
    }
    const auto found = transfers_.find(item.id_);
    const std::unique_ptr<transfer> owned = std::move(found->second);
    transfers_.erase(found);
    release_handles(*owned);
    owned->on_end_(std::move(result));
}

void http_client::describe_body(const transfer& item, transfer_result& result)
{
    result.reused_connection_ = item.send_count_ > 0 && uses_old_connection(item.easy_);
    result.sent_again_ = item.send_count_ > 1 && item.request_.repeatable_;
    result.status_ = item.response_.status_;
    curl_off_t length = -1;
    ::curl_easy_getinfo(item.easy_, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    result.framing_ = find_framing(item.request_.message_.method_, item.response_, length);
    result.body_bytes_ = item.response_.body_.size() + item.dropped_bytes_;
}

void http_client::release_handles(transfer& item)
{
    ::curl_multi_remove_handle(multi_, item.easy_);
    ::curl_easy_cleanup(item.easy_);
    ::curl_slist_free_all(item.headers_);
    item.easy_ = nullptr;
    item.headers_ = nullptr;
}

} // namespace bamboohoist
