// Prints ports that are free on loopback at this moment. Usage: ports COUNT

#include "http.hpp"

#include <cstdio>
#include <vector>

int main(int argc, char** argv)
{
    const int count = argc == 2 ? std::atoi(argv[1]) : 0;
    std::vector<int> held;
    for (int i = 0; i < count; ++i)
    {
        const int fd = review::listen_at("127.0.0.1", 0);
        sockaddr_in address{};
        socklen_t length = sizeof address;
        if (fd < 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        {
            return 2;
        }
        held.push_back(fd); // Kept, so that no port is printed twice.
        std::printf("%d ", ntohs(address.sin_port));
    }
    std::printf("\n");
    for (const int fd : held)
    {
        ::close(fd);
    }
    return 0;
}
