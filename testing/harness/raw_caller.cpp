#include "harness/raw_caller.hpp"

#include <arpa/inet.h>
#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t status_at = 9; ///< After the version and a blank.

std::string encode_request(const request_message& request)
{
    std::string bytes = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
    bytes += "Host: " + request.host_ + "\r\n";
    for (const header& field : request.headers_)
    {
        bytes += field.name_ + ": " + field.value_ + "\r\n";
    }
    if (request.method_ != "GET")
    {
        bytes += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
    }
    return bytes + "\r\n" + request.body_;
}

response_message parse_head(std::string_view head)
{
    response_message response;
    response.status_ = std::stoi(std::string(head.substr(status_at)));
    head.remove_prefix(head.find(line_end) + line_end.size());
    while (!head.empty())
    {
        const std::string_view line = head.substr(0, head.find(line_end));
        const std::size_t colon = line.find(": ");
        response.headers_.push_back(
            {std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
        head.remove_prefix(line.size() + line_end.size());
    }
    return response;
}

} // namespace

raw_caller::raw_caller(std::string_view server) : server_(*parse_endpoint(server)) {}

raw_caller::~raw_caller()
{
    disconnect();
}

std::optional<response_message> raw_caller::call(const request_message& request, duration timeout)
{
    const instant deadline = std::chrono::steady_clock::now() + timeout;
    if (fd_ < 0 && !connect())
    {
        return std::nullopt;
    }
    stray_bytes_ += received_.size();
    received_.clear();
    const std::string bytes = encode_request(request);
    auto answer = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0 ? std::nullopt
                                                                            : read_answer(deadline);
    if (!answer || find_header(answer->headers_, "Connection") == "close")
    {
        disconnect();
    }
    return answer;
}

std::size_t raw_caller::stray_bytes() const
{
    return stray_bytes_ + received_.size();
}

bool raw_caller::connect()
{
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = *to_socket_address(server_);
    return ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

void raw_caller::disconnect()
{
    if (fd_ >= 0)
    {
        ::close(fd_);
    }
    fd_ = -1;
    stray_bytes_ += received_.size();
    received_.clear();
}

bool raw_caller::receive(instant deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    pollfd readable{fd_, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0)
    {
        return false;
    }
    std::array<char, 16384> buffer{};
    const ssize_t count = ::recv(fd_, buffer.data(), buffer.size(), 0);
    if (count > 0)
    {
        received_.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return count > 0;
}

/// The node gives each answer a length. A body without one is taken for empty, so that its bytes
/// show as stray ones.
std::optional<response_message> raw_caller::read_answer(instant deadline)
{
    while (received_.find(head_end) == std::string::npos)
    {
        if (!receive(deadline))
        {
            received_.clear();
            return std::nullopt;
        }
    }
    const std::size_t body_at = received_.find(head_end) + head_end.size();
    response_message response =
        parse_head(std::string_view(received_).substr(0, body_at - line_end.size()));
    const auto length = find_header(response.headers_, "Content-Length").value_or("0");
    const std::size_t end = body_at + std::stoul(std::string(length));
    while (received_.size() < end)
    {
        if (!receive(deadline))
        {
            received_.clear();
            return std::nullopt;
        }
    }
    response.body_ = received_.substr(body_at, end - body_at);
    received_.erase(0, end);
    return response;
}

} // namespace bamboohoist::testing
