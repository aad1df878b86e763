#ifndef BAMBOOHOIST_TESTING_SINGLE_RESPONSE_SERVER_HPP
#define BAMBOOHOIST_TESTING_SINGLE_RESPONSE_SERVER_HPP

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

/// Responds to the first request on each connection, and closes the connection when a second one
/// arrives.
class single_response_server
{
public:
    single_response_server() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        if (bound != 0 || ::listen(listener_, backlog) != 0)
        {
            throw std::runtime_error("single_response_server cannot listen on 127.0.0.1");
        }
        socklen_t length = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }

    ~single_response_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    single_response_server(const single_response_server&) = delete;
    single_response_server& operator=(const single_response_server&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    /// Number of responses sent.
    int response_count() const
    {
        return response_count_;
    }

private:
    static constexpr int backlog = 8;

    void serve()
    {
        constexpr std::string_view response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        for (int fd = ::accept(listener_, nullptr, nullptr); fd >= 0;
             fd = ::accept(listener_, nullptr, nullptr))
        {
            std::array<char, 2048> bytes{};
            if (::recv(fd, bytes.data(), bytes.size(), 0) > 0)
            {
                ++response_count_;
                ::send(fd, response.data(), response.size(), MSG_NOSIGNAL);
                ::recv(fd, bytes.data(), bytes.size(), 0);
            }
            ::close(fd);
        }
    }

    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> response_count_ = 0;
    std::thread thread_;
};

} // namespace bamboohoist::testing

#endif
