// Clients of one tenant. They send requests at a steady rate to the nodes of several machines, each
// on a connection of its own, and never repeat one. A line is appended to a file for each request.
//
// Usage: load FILE SECONDS RATE_PER_MACHINE PORT HOST PATH KEY ADDRESS...

#include "http.hpp"

#include <cstdio>
#include <fstream>
#include <mutex>
#include <vector>

namespace {

using namespace review;

constexpr int threads_per_machine = 8;
constexpr int wait_s = 4;

struct plan
{
    std::string file_;
    int seconds_ = 0;
    double rate_ = 0.0;
    int port_ = 0;
    std::string host_;
    std::string path_;
    std::string key_;
};

class recorder
{
public:
    explicit recorder(const std::string& path) : file_(path, std::ios::app) {}

    void add(std::int64_t sent, const std::string& id, int status)
    {
        const std::lock_guard lock(mutex_);
        file_ << sent << " client sends id=" << id << " and gets status=" << status << " at "
              << wall_ms() << '\n';
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

void send_requests(const plan& wanted, const std::string& address, int thread, recorder& results)
{
    const auto begin = std::chrono::steady_clock::now();
    const std::chrono::duration<double> period(threads_per_machine / wanted.rate_);
    const int count = static_cast<int>(wanted.seconds_ / period.count());
    for (int i = 0; i < count; ++i)
    {
        const auto due = begin + period * (i + static_cast<double>(thread) / threads_per_machine);
        std::this_thread::sleep_until(due);
        const std::string id = address + "-" + std::to_string(thread) + "-" + std::to_string(i);
        const std::int64_t sent = wall_ms();
        const http_request request{"GET",
                                   wanted.path_ + id,
                                   {{"Host", wanted.host_},
                                    {"Authorization", "Token " + wanted.key_},
                                    {"X-Bamboohoist-Attempt-Id", id},
                                    {"X-Bamboohoist-Deadline-Remaining", "4000"}},
                                   ""};
        const auto response = call(address, wanted.port_, request, wait_s);
        results.add(sent, id, response ? response->status_ : 0);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 9)
    {
        std::fprintf(stderr, "usage: load FILE SECONDS RATE PORT HOST PATH KEY ADDRESS...\n");
        return 2;
    }
    const plan wanted{
        argv[1], std::atoi(argv[2]), std::atof(argv[3]), std::atoi(argv[4]), argv[5], argv[6],
        argv[7]};
    recorder results(wanted.file_);
    std::vector<std::thread> clients;
    for (int machine = 8; machine < argc; ++machine)
    {
        for (int thread = 0; thread < threads_per_machine; ++thread)
        {
            clients.emplace_back([&wanted, &results, address = std::string(argv[machine]), thread] {
                send_requests(wanted, address, thread, results);
            });
        }
    }
    for (std::thread& client : clients)
    {
        client.join();
    }
    return 0;
}
