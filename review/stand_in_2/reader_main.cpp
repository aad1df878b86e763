// A client that reads prices of many sizes on a kept connection and checks that each signed success
// has the target's whole body. A line is appended to a file for each answer.
//
// Usage: reader FILE ADDRESS PORT HOST FIRST_SIZE LAST_SIZE ANSWERS_PER_SIZE

#include "http.hpp"

#include <cstdio>
#include <fstream>
#include <memory>

namespace {

using namespace review;

constexpr int wait_s = 5;

std::unique_ptr<connection> open_connection(const std::string& address, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto opened = std::make_unique<connection>(fd);
    opened->limit_wait(wait_s);
    const sockaddr_in peer = socket_address(address, port);
    const bool connected =
        ::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0;
    return connected ? std::move(opened) : nullptr;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 8)
    {
        std::fprintf(stderr, "usage: reader FILE ADDRESS PORT HOST FIRST LAST ANSWERS\n");
        return 2;
    }
    std::ofstream file(argv[1], std::ios::app);
    const std::string address = argv[2];
    const int port = std::atoi(argv[3]);
    const std::string host = argv[4];
    std::unique_ptr<connection> node;
    for (int size = std::atoi(argv[5]); size <= std::atoi(argv[6]); ++size)
    {
        for (int number = 0; number < std::atoi(argv[7]); ++number)
        {
            char id[17];
            std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(size),
                          static_cast<unsigned>(number));
            node = node ? std::move(node) : open_connection(address, port);
            if (!node)
            {
                return 2;
            }
            char path[64];
            std::snprintf(path, sizeof path, "/cotiza/%d/%d", size, number);
            std::string text = "GET ";
            text.append(path).append(" HTTP/1.1\r\nHost: ").append(host);
            text.append("\r\nX-Bamboohoist-Attempt-Id: ").append(id);
            text.append("\r\nX-Bamboohoist-Deadline-Remaining: 8000\r\n\r\n");
            const std::int64_t sent = wall_ms();
            node->send_all(text);
            field_map fields;
            std::string body;
            const auto first = node->read_line();
            if (!first || !node->read_rest(fields, body))
            {
                file << sent << " client sends id=" << id << " " << path << " and gets no answer\n";
                node.reset();
                continue;
            }
            const std::string wanted = "half" + std::string(static_cast<std::size_t>(size), 'x');
            const bool success = first->substr(9, 1) == "2";
            const bool is_signed = fields.contains("x-bamboohoist-response-signature");
            const std::string verdict = !success         ? "no success"
                                        : !is_signed     ? "NOT SIGNED"
                                        : body == wanted ? "whole"
                                                         : "NOT WHOLE";
            file << sent << " client sends id=" << id << " " << path << " and gets "
                 << first->substr(9) << ", " << body.size() << " bytes, " << verdict << '\n';
            if (success && body != wanted)
            {
                file << "the body of " << id << ": " << body << '\n';
            }
        }
    }
    return 0;
}
