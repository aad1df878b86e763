#ifndef BAMBOOHOIST_REVIEW_HTTP_HPP
#define BAMBOOHOIST_REVIEW_HTTP_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// An IPv4 address and a port.
struct endpoint
{
    std::string ip_;
    std::uint16_t port_ = 0;
};

std::string to_string(const endpoint& value);

/// A port that is free on this address at the moment.
std::uint16_t free_port(const std::string& ip);

struct header
{
    std::string name_;
    std::string value_;
};

/// A request or a response of HTTP/1.1 with its complete body.
struct http_message
{
    std::string first_line_;
    std::vector<header> headers_;
    std::string body_;

    std::string method() const;
    std::string path() const;
    int status() const;
    /// The value of a header field; empty when there is none.
    std::string field(std::string_view name) const;
};

/// One connection. Reads and writes block.
class connection
{
public:
    explicit connection(int fd);
    ~connection();

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool send(const http_message& message) const;

    /// Empty when the peer closes the connection before a complete message or the time is over.
    std::optional<http_message> read(milliseconds limit);

    /// Waits for the peer to close the connection. False when the time is over before.
    bool wait_closed(milliseconds limit) const;

    bool closed_by_peer() const;

private:
    bool read_more(steady::time_point until);

    int fd_;
    bool closed_ = false;
    std::string buffer_;
};

/// Opens a connection; a null pointer when it is refused or not established in a second.
std::unique_ptr<connection> connect_to(const endpoint& server);

/// A server with one thread for each connection.
class http_server
{
public:
    /// Empty to close the connection without a response.
    using handler = std::function<std::optional<http_message>(const http_message&, connection&)>;

    http_server(const endpoint& local, handler on_request);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Closes the listening socket and all connections, as the end of the process would.
    void stop();

private:
    void accept_all();
    void serve(int fd);

    handler on_request_;
    int listener_ = -1;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

http_message make_response(int status, std::string body);

} // namespace review

#endif
