#ifndef BAMBOOHOIST_TESTING_SCRIPTED_SERVER_HPP
#define BAMBOOHOIST_TESTING_SCRIPTED_SERVER_HPP

#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <future>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bamboohoist::testing {

/// How a scripted server ends a connection.
enum class connection_end
{
    close, ///< In the ordinary way.
    reset,
    process_end, ///< As the kernel does when the process ends: the listening socket is closed, too.
    deaf,        ///< In the ordinary way; from then on attempts to connect get no response.
    none,        ///< Not before the client closes it.
};

/// What a scripted server sends on each of its connections.
struct server_script
{
    /// The bytes that follow each request on a connection. What follows the last one belongs to no
    /// request.
    std::vector<std::string> answers_;
    connection_end end_ = connection_end::none;
    /// Further connections are accepted and ended at once, while the server lives.
    std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
    connection_end further_end_ = connection_end::reset;
    /// What is sent after the answers, once the test allows it; nothing without a future.
    std::string rest_ = {};
    std::shared_future<void> rest_allowed_ = {};
};

/// Sends the same bytes on each connection, whether they are a response or not. Serves one
/// connection at a time.
class scripted_server
{
public:
    explicit scripted_server(server_script script)
        : script_(std::move(script)), listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        if (bound != 0 || ::listen(listener_, backlog) != 0)
        {
            throw std::runtime_error("scripted_server cannot listen on 127.0.0.1");
        }
        port_ = bound_port(listener_);
        thread_ = std::thread([this] { serve(); });
    }

    ~scripted_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        for (const int fd : fillers_)
        {
            ::close(fd);
        }
        ::close(listener_);
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    static constexpr int backlog = 8;
    static constexpr int filler_count = 4;

    void serve()
    {
        std::size_t served = 0;
        for (int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC); fd >= 0;
             fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC))
        {
            if (served++ < script_.max_connections_)
            {
                serve_connection(fd);
            }
            else
            {
                end_connection(fd, script_.further_end_);
            }
            ::close(fd);
            if (!fillers_.empty())
            {
                return;
            }
        }
    }

    /// Fills the accept queue, which nobody empties.
    void become_deaf()
    {
        if (::listen(listener_, 0) != 0)
        {
            return;
        }
        const sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", port_});
        for (int i = 0; i < filler_count; ++i)
        {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            [[maybe_unused]] const int begun =
                ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
            fillers_.push_back(fd);
        }
    }

    void serve_connection(int fd)
    {
        std::array<char, 4096> request{};
        for (const std::string& answer : script_.answers_)
        {
            if (::recv(fd, request.data(), request.size(), 0) <= 0)
            {
                return;
            }
            ::send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        if (script_.rest_allowed_.valid())
        {
            script_.rest_allowed_.wait();
            ::send(fd, script_.rest_.data(), script_.rest_.size(), MSG_NOSIGNAL);
        }
        end_connection(fd, script_.end_);
    }

    void end_connection(int fd, connection_end end)
    {
        std::array<char, 4096> request{};
        if (end == connection_end::reset)
        {
            const linger discard{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        }
        if (end == connection_end::process_end)
        {
            ::shutdown(listener_, SHUT_RDWR);
        }
        if (end == connection_end::deaf)
        {
            become_deaf();
        }
        if (end == connection_end::none)
        {
            ::recv(fd, request.data(), request.size(), 0);
        }
    }

    server_script script_;
    int listener_;
    std::vector<int> fillers_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace bamboohoist::testing

#endif
