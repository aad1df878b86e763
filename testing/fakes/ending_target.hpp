#ifndef BAMBOOHOIST_TESTING_ENDING_TARGET_HPP
#define BAMBOOHOIST_TESTING_ENDING_TARGET_HPP

#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bamboohoist::testing {

/// A target with two connections, which is as many as it takes. It answers the first one whole and
/// without a length, closes further ones, and ends as a process does when its client looks for the
/// second time whether it lives: in the middle of the answer on its second connection, which it
/// closes before that of the client's check.
class ending_target
{
public:
    /// The answers are made from the request's identifier.
    using answer_maker = std::function<std::string(std::string_view id)>;

    ending_target(answer_maker whole, answer_maker part)
        : whole_(std::move(whole)), part_(std::move(part)),
          listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        if (bound != 0 || ::listen(listener_, backlog) != 0)
        {
            throw std::runtime_error("ending_target cannot listen on 127.0.0.1");
        }
        port_ = bound_port(listener_);
        thread_ = std::thread([this] { serve(); });
    }

    ~ending_target()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    ending_target(const ending_target&) = delete;
    ending_target& operator=(const ending_target&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    static constexpr int backlog = 8;

    void serve()
    {
        const int first = accept_next();
        const std::string first_answer = whole_(read_id(first));
        const int second = accept_next();
        const std::string second_answer = part_(read_id(second));
        ::send(second, second_answer.data(), second_answer.size(), MSG_NOSIGNAL);
        ::send(first, first_answer.data(), first_answer.size(), MSG_NOSIGNAL);
        ::close(first);
        ::close(accept_next());
        const int check = accept_next();
        ::shutdown(listener_, SHUT_RDWR);
        ::shutdown(second, SHUT_WR);
        std::array<char, 16> nothing{};
        ::recv(second, nothing.data(), nothing.size(), 0);
        ::close(second);
        ::close(check);
    }

    int accept_next() const
    {
        return ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    }

    static std::string read_id(int fd)
    {
        constexpr std::string_view field = "X-Bamboohoist-Attempt-Id: ";
        std::array<char, 4096> buffer{};
        const ssize_t size = ::recv(fd, buffer.data(), buffer.size(), 0);
        const std::string request(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        const std::size_t at = request.find(field);
        if (at == std::string::npos)
        {
            return {};
        }
        const std::size_t start = at + field.size();
        return request.substr(start, request.find('\r', start) - start);
    }

    answer_maker whole_;
    answer_maker part_;
    int listener_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace bamboohoist::testing

#endif
