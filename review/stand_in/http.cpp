#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int poll_period_ms = 20;
constexpr int connect_limit_ms = 1000;

sockaddr_in to_address(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port_);
    ::inet_pton(AF_INET, value.ip_.c_str(), &address.sin_addr);
    return address;
}

int ms_until(steady::time_point when)
{
    const auto left = std::chrono::duration_cast<milliseconds>(when - steady::now()).count();
    return static_cast<int>(std::max<long long>(left, 0));
}

std::string encode(const http_message& message)
{
    std::string text = message.first_line_ + "\r\n";
    for (const header& field : message.headers_)
    {
        text += field.name_ + ": " + field.value_ + "\r\n";
    }
    text += "Content-Length: " + std::to_string(message.body_.size()) + "\r\n\r\n";
    return text + message.body_;
}

http_message parse_head(std::string_view head)
{
    http_message message;
    std::size_t begin = 0;
    while (begin < head.size())
    {
        const std::size_t end = std::min(head.find("\r\n", begin), head.size());
        const std::string_view line = head.substr(begin, end - begin);
        begin = end + 2;
        if (message.first_line_.empty())
        {
            message.first_line_ = std::string(line);
            continue;
        }
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers_.push_back(
            {std::string(line.substr(0, colon)),
             value == std::string_view::npos ? std::string() : std::string(line.substr(value))});
    }
    return message;
}

} // namespace

std::string to_string(const endpoint& value)
{
    return value.ip_ + ":" + std::to_string(value.port_);
}

std::uint16_t free_port(const std::string& ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = to_address({ip, 0});
    socklen_t size = sizeof address;
    const bool bound = ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                       ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    ::close(fd);
    if (!bound)
    {
        throw std::runtime_error("no free port on " + ip);
    }
    return ntohs(address.sin_port);
}

std::string http_message::method() const
{
    return first_line_.substr(0, first_line_.find(' '));
}

std::string http_message::path() const
{
    const std::size_t begin = first_line_.find(' ') + 1;
    return first_line_.substr(begin, first_line_.find(' ', begin) - begin);
}

int http_message::status() const
{
    return std::atoi(first_line_.c_str() + std::min(first_line_.size(), first_line_.find(' ')));
}

std::string http_message::field(std::string_view name) const
{
    for (const header& item : headers_)
    {
        if (item.name_.size() == name.size() &&
            ::strncasecmp(item.name_.data(), name.data(), name.size()) == 0)
        {
            return item.value_;
        }
    }
    return {};
}

connection::connection(int fd) : fd_(fd)
{
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    ::close(fd_);
}

bool connection::send(const http_message& message) const
{
    const std::string text = encode(message);
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const auto count = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<http_message> connection::read(milliseconds limit)
{
    const auto until = steady::now() + limit;
    std::size_t head_end = std::string::npos;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos)
    {
        if (!read_more(until))
        {
            return std::nullopt;
        }
    }
    http_message message = parse_head(std::string_view(buffer_).substr(0, head_end));
    buffer_.erase(0, head_end + 4);
    const std::size_t length =
        static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
    while (buffer_.size() < length)
    {
        if (!read_more(until))
        {
            return std::nullopt;
        }
    }
    message.body_ = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
}

bool connection::read_more(steady::time_point until)
{
    pollfd item{fd_, POLLIN, 0};
    if (closed_ || ::poll(&item, 1, ms_until(until)) <= 0)
    {
        return false;
    }
    std::array<char, 16384> part;
    const auto count = ::recv(fd_, part.data(), part.size(), 0);
    if (count <= 0)
    {
        closed_ = true;
        return false;
    }
    buffer_.append(part.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::wait_closed(milliseconds limit) const
{
    const auto until = steady::now() + limit;
    for (;;)
    {
        if (closed_by_peer())
        {
            return true;
        }
        const int left = ms_until(until);
        if (left == 0)
        {
            return false;
        }
        ::poll(nullptr, 0, std::min(left, poll_period_ms));
    }
}

bool connection::closed_by_peer() const
{
    char byte = 0;
    const auto count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return closed_ || count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

std::unique_ptr<connection> connect_to(const endpoint& server)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto opened = std::make_unique<connection>(fd);
    const sockaddr_in address = to_address(server);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        pollfd item{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&item, 1, connect_limit_ms) <= 0 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        {
            return nullptr;
        }
    }
    const int flags = 0;
    ::ioctl(fd, FIONBIO, &flags);
    return opened;
}

http_server::http_server(const endpoint& local, handler on_request)
    : on_request_(std::move(on_request)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = to_address(local);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener_, SOMAXCONN) != 0)
    {
        ::close(listener_);
        throw std::runtime_error("cannot listen on " + to_string(local));
    }
    acceptor_ = std::thread([this] { accept_all(); });
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (stopping_.exchange(true))
    {
        return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int fd : open_)
        {
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    for (std::thread& worker : threads_)
    {
        worker.join();
    }
}

void http_server::accept_all()
{
    while (!stopping_)
    {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
        {
            continue;
        }
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
        threads_.emplace_back([this, fd] { serve(fd); });
    }
}

void http_server::serve(int fd)
{
    connection peer(fd);
    while (!stopping_)
    {
        const auto request = peer.read(std::chrono::hours(1));
        if (!request)
        {
            break;
        }
        const auto response = on_request_(*request, peer);
        if (!response || !peer.send(*response))
        {
            break;
        }
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
}

http_message make_response(int status, std::string body)
{
    http_message response;
    response.first_line_ = "HTTP/1.1 " + std::to_string(status) + " -";
    response.headers_.push_back({"Content-Type", "application/json"});
    response.body_ = std::move(body);
    return response;
}

} // namespace review
