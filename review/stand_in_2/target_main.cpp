// Stand-in of a target (an application server) on a machine of the users' platform. It sends
// heartbeats to the node beside it, serves requests and appends a line to a file for each request
// that it runs.
//
// Usage: target ADDRESS PORT INSTANCE SERVICE ZONE CONTROL_PORT FILE RUN_MS [stutter]
// Answers to paths /cotiza/SIZE/NUMBER are sent in two chunks, the second one of SIZE bytes. With
// `stutter`, those whose NUMBER is 0 break off behind the size of the second chunk, and the whole
// answer follows on the same connection.
// SIGUSR1: it leaves without reporting `draining`: it deregisters, serves on, and the heartbeat
// that was on its way then reaches the node 2.5 s late.

#include "http.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>

namespace {

using json = nlohmann::json;
using namespace review;

constexpr auto heartbeat_period = std::chrono::milliseconds(1500);
constexpr auto late_by = std::chrono::milliseconds(2500);
constexpr int heartbeat_wait_s = 1;
constexpr unsigned slots = 3;

class target
{
public:
    target(char** argv, bool stutters)
        : address_(argv[1]), port_(std::atoi(argv[2])), instance_(argv[3]), service_(argv[4]),
          zone_(argv[5]), control_port_(std::atoi(argv[6])), file_(argv[7], std::ios::app),
          run_time_(std::atoi(argv[8])), stutters_(stutters)
    {
    }

    bool start()
    {
        return serve(address_, port_, [this](const http_request& call) { return handle(call); });
    }

    void beat()
    {
        post("/heartbeat", next_heartbeat());
    }

    void leave()
    {
        const json on_its_way = next_heartbeat();
        int status = 0;
        while (status != 200)
        {
            status = post("/deregister", {{"born", born_}});
            record("deregistered status=" + std::to_string(status));
        }
        std::this_thread::sleep_for(late_by);
        status = post("/heartbeat", on_its_way);
        record("late-heartbeat sequence=" + std::to_string(sequence_) +
               " status=" + std::to_string(status));
    }

private:
    json next_heartbeat()
    {
        return {
            {"born", born_},
            {"Address", address_ + ":" + std::to_string(port_)},
            {"Info", {{"Service", service_}, {"Version", "v1"}, {"Zone", zone_}, {"Slots", slots}}},
            {"Status", {{"State", "ready"}, {"Sequence", ++sequence_}, {"Cold_time", "0ms"}}}};
    }

    int post(const std::string& action, const json& body)
    {
        const http_request request{"POST",
                                   "/v1/instances/" + instance_ + action,
                                   {{"Host", address_}, {"Content-Type", "application/json"}},
                                   body.dump()};
        const auto response = call(address_, control_port_, request, heartbeat_wait_s);
        return response ? response->status_ : 0;
    }

    http_response handle(const http_request& request)
    {
        const std::string id = field_of(request.fields_, "x-bamboohoist-attempt-id");
        const std::string wanted = field_of(request.fields_, "x-bamboohoist-target-instance");
        if (request.target_ == "/health")
        {
            return {200, {{"X-Bamboohoist-Instance-Id", instance_}}, ""};
        }
        if (!wanted.empty() && wanted != instance_)
        {
            return {421,
                    {{"X-Bamboohoist-Instance-Id", instance_}, {"X-Bamboohoist-Attempt-Id", id}},
                    ""};
        }
        record("run id=" + id + " method=" + request.method_ + " target=" + request.target_ +
               " caller=" + field_of(request.fields_, "x-bamboohoist-caller-service") +
               " tenant=" + field_of(request.fields_, "x-bamboohoist-tenant"));
        std::this_thread::sleep_for(run_time_);
        if (request.target_.starts_with("/cotiza/"))
        {
            return chunked_answer(request.target_, id);
        }
        return {200,
                {{"X-Bamboohoist-Attempt-Id", id},
                 {"X-Bamboohoist-Response-Signature", "3e1b.07.5a2." + instance_}},
                "whole body of " + id + "\n"};
    }

    http_response chunked_answer(const std::string& path, const std::string& id) const
    {
        int size = 0;
        int number = 0;
        std::sscanf(path.c_str(), "/cotiza/%d/%d", &size, &number);
        char size_text[16];
        std::snprintf(size_text, sizeof size_text, "%x", static_cast<unsigned>(size));
        const std::string begin = "HTTP/1.1 200 OK\r\nX-Bamboohoist-Attempt-Id: " + id +
                                  "\r\nX-Bamboohoist-Response-Signature: "
                                  "3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n"
                                  "\r\n4\r\nhalf\r\n" +
                                  std::string(size_text);
        const std::string whole =
            begin + "\r\n" + std::string(static_cast<std::size_t>(size), 'x') + "\r\n0\r\n\r\n";
        http_response response;
        response.raw_ = stutters_ && number == 0 ? begin + whole : whole;
        return response;
    }

    void record(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        file_ << wall_ms() << " target=" << instance_ << " " << text << std::endl;
    }

    std::string address_;
    int port_;
    std::string instance_;
    std::string service_;
    std::string zone_;
    int control_port_;
    std::ofstream file_;
    std::chrono::milliseconds run_time_;
    bool stutters_;
    std::int64_t born_ = wall_ms();
    unsigned sequence_ = 0;
    std::mutex mutex_;
};

} // namespace

int main(int argc, char** argv)
{
    const bool stutters = argc == 10 && std::string_view(argv[9]) == "stutter";
    if (argc != 9 && !stutters)
    {
        std::fprintf(stderr, "usage: target ADDRESS PORT INSTANCE SERVICE ZONE CONTROL_PORT FILE "
                             "RUN_MS [stutter]\n");
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    target served(argv, stutters);
    if (!served.start())
    {
        std::fprintf(stderr, "target: cannot listen\n");
        return 2;
    }
    const timespec period{heartbeat_period.count() / 1000,
                          heartbeat_period.count() % 1000 * 1000000};
    do
    {
        served.beat();
    } while (::sigtimedwait(&signals, nullptr, &period) != SIGUSR1);
    served.leave();
    ::pause();
}
