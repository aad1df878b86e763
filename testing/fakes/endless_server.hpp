#ifndef BAMBOOHOIST_TESTING_ENDLESS_SERVER_HPP
#define BAMBOOHOIST_TESTING_ENDLESS_SERVER_HPP

#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bamboohoist::testing {

/// Responds to each request with a beginning and then the same bytes again and again, until the
/// client closes the connection. Serves one connection at a time.
class endless_server
{
public:
    endless_server(std::string beginning, std::string repeated)
        : beginning_(std::move(beginning)), repeated_(std::move(repeated)),
          listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        if (bound != 0 || ::listen(listener_, backlog) != 0)
        {
            throw std::runtime_error("endless_server cannot listen on 127.0.0.1");
        }
        port_ = bound_port(listener_);
        thread_ = std::thread([this] { serve(); });
    }

    ~endless_server()
    {
        stopping_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    std::size_t bytes_sent() const
    {
        return bytes_sent_;
    }

private:
    static constexpr int backlog = 64;

    void serve()
    {
        for (int fd = ::accept(listener_, nullptr, nullptr); fd >= 0;
             fd = ::accept(listener_, nullptr, nullptr))
        {
            std::array<char, 2048> request{};
            bool open = ::recv(fd, request.data(), request.size(), 0) > 0 && write(fd, beginning_);
            while (open && !stopping_)
            {
                open = write(fd, repeated_);
            }
            ::close(fd);
        }
    }

    /// Sends all bytes, however slowly the client reads. False when it has closed the connection.
    bool write(int fd, std::string_view bytes)
    {
        const timeval limit{0, 100'000};
        ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        while (!bytes.empty() && !stopping_)
        {
            const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN)
            {
                return false;
            }
            const auto size = sent > 0 ? static_cast<std::size_t>(sent) : 0;
            bytes_sent_ += size;
            bytes.remove_prefix(size);
        }
        return true;
    }

    std::string beginning_;
    std::string repeated_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> bytes_sent_ = 0;
    std::thread thread_;
};

} // namespace bamboohoist::testing

#endif
