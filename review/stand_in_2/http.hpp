#ifndef BAMBOOHOIST_REVIEW_HTTP_HPP
#define BAMBOOHOIST_REVIEW_HTTP_HPP

// A small blocking HTTP/1.1 server and client for the stand-ins of the review. One thread serves
// one connection. Only what these stand-ins need: bodies with a length, no pipelining.

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

/// Field names in lower case.
using field_map = std::map<std::string, std::string>;

struct http_request
{
    std::string method_;
    std::string target_; ///< Path and query.
    field_map fields_;
    std::string body_;
};

struct http_response
{
    int status_ = 200;
    field_map fields_;
    std::string body_;
    bool silent_ = false;  ///< Nothing is sent; the connection stays open.
    std::string raw_ = {}; ///< If not empty, these bytes are sent in place of a response.
};

using request_handler = std::function<http_response(const http_request&)>;

inline std::int64_t wall_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

inline std::string field_of(const field_map& fields, const std::string& name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

/// The value of an argument of the query, without percent-encoding.
inline std::string query_argument(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    std::string_view query = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!query.empty())
    {
        const std::string_view part = query.substr(0, query.find('&'));
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string_view::npos)
        {
            std::string value;
            const std::string_view encoded = part.substr(equals + 1);
            for (std::size_t i = 0; i < encoded.size(); ++i)
            {
                if (encoded[i] == '%' && i + 2 < encoded.size())
                {
                    const std::string digits(encoded.substr(i + 1, 2));
                    value += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
                    i += 2;
                    continue;
                }
                value += encoded[i];
            }
            return value;
        }
        query.remove_prefix(std::min(query.size(), part.size() + 1));
    }
    return {};
}

inline sockaddr_in socket_address(const std::string& address, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

/// One connection, read line by line.
class connection
{
public:
    explicit connection(int fd) : fd_(fd)
    {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~connection()
    {
        ::close(fd_);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    std::optional<std::string> read_line()
    {
        for (;;)
        {
            const auto end = buffer_.find("\r\n");
            if (end != std::string::npos)
            {
                std::string line = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return line;
            }
            if (!receive())
            {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> read_bytes(std::size_t count)
    {
        while (buffer_.size() < count)
        {
            if (!receive())
            {
                return std::nullopt;
            }
        }
        std::string bytes = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return bytes;
    }

    /// Reads the fields of a head and the body. False when the connection has ended.
    bool read_rest(field_map& fields, std::string& body)
    {
        for (;;)
        {
            const auto line = read_line();
            if (!line)
            {
                return false;
            }
            if (line->empty())
            {
                break;
            }
            const auto colon = line->find(':');
            std::string name = line->substr(0, colon);
            for (char& letter : name)
            {
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            }
            const auto begin = line->find_first_not_of(' ', colon + 1);
            fields[name] = begin == std::string::npos ? "" : line->substr(begin);
        }
        const auto length = std::strtoul(field_of(fields, "content-length").c_str(), nullptr, 10);
        const auto bytes = read_bytes(length);
        body = bytes.value_or("");
        return bytes.has_value();
    }

    bool send_all(std::string_view data) const
    {
        while (!data.empty())
        {
            const auto sent = ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
            if (sent <= 0)
            {
                return false;
            }
            data.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Waits until the other side closes the connection.
    void drain()
    {
        while (receive())
        {
            buffer_.clear();
        }
    }

    void limit_wait(int seconds) const
    {
        const timeval limit{seconds, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    }

private:
    bool receive()
    {
        char chunk[4096];
        const auto received = ::recv(fd_, chunk, sizeof chunk, 0);
        if (received <= 0)
        {
            return false;
        }
        buffer_.append(chunk, static_cast<std::size_t>(received));
        return true;
    }

    int fd_;
    std::string buffer_;
};

inline std::string format_response(const http_response& response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status_) + " Status\r\n";
    for (const auto& [name, value] : response.fields_)
    {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(response.body_.size()) + "\r\n\r\n";
    return text + response.body_;
}

inline void serve_connection(int fd, const request_handler& handle)
{
    connection caller(fd);
    for (;;)
    {
        http_request request;
        const auto first = caller.read_line();
        if (!first || !caller.read_rest(request.fields_, request.body_))
        {
            return;
        }
        const auto method_end = first->find(' ');
        const auto target_end = first->rfind(' ');
        if (method_end == std::string::npos || target_end <= method_end)
        {
            return;
        }
        request.method_ = first->substr(0, method_end);
        request.target_ = first->substr(method_end + 1, target_end - method_end - 1);
        const http_response response = handle(request);
        if (response.silent_)
        {
            caller.drain();
            return;
        }
        if (!caller.send_all(response.raw_.empty() ? format_response(response) : response.raw_))
        {
            return;
        }
    }
}

/// Listens at an address; 0 is any free port. Returns the descriptor, or -1.
inline int listen_at(const std::string& address, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = socket_address(address, port);
    const auto* raw = reinterpret_cast<const sockaddr*>(&local);
    if (::bind(fd, raw, sizeof local) != 0 || ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// Serves at an address on threads of its own. False when it cannot listen there.
inline bool serve(const std::string& address, int port, request_handler handle)
{
    const int fd = listen_at(address, port);
    if (fd < 0)
    {
        return false;
    }
    std::thread([fd, handle = std::move(handle)] {
        for (;;)
        {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
            {
                std::thread([accepted, handle] { serve_connection(accepted, handle); }).detach();
            }
        }
    }).detach();
    return true;
}

/// Sends one request on a connection of its own. Empty when there is no complete response.
inline std::optional<http_response> call(const std::string& address, int port,
                                         const http_request& request, int wait_s)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connection remote(fd);
    remote.limit_wait(wait_s);
    const sockaddr_in peer = socket_address(address, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0)
    {
        return std::nullopt;
    }
    std::string text = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields_)
    {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n\r\n" + request.body_;
    if (!remote.send_all(text))
    {
        return std::nullopt;
    }
    http_response response;
    const auto first = remote.read_line();
    if (!first || first->size() < 12 || !remote.read_rest(response.fields_, response.body_))
    {
        return std::nullopt;
    }
    response.status_ = std::atoi(first->substr(9, 3).c_str());
    return response;
}

} // namespace review

#endif
