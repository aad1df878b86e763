// Stand-in of a target (an application server) on a machine of the users' platform. It sends
// heartbeats to the node beside it, serves requests and appends a line to a file for each request
// that it runs.
//
// Usage: target ADDRESS PORT INSTANCE SERVICE ZONE CONTROL_PORT FILE RUN_MS
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
    explicit target(char** argv)
        : address_(argv[1]), port_(std::atoi(argv[2])), instance_(argv[3]), service_(argv[4]),
          zone_(argv[5]), control_port_(std::atoi(argv[6])), file_(argv[7], std::ios::app),
          run_time_(std::atoi(argv[8]))
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
        return {200,
                {{"X-Bamboohoist-Attempt-Id", id},
                 {"X-Bamboohoist-Response-Signature", "3e1b.07.5a2." + instance_}},
                "whole body of " + id + "\n"};
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
    std::int64_t born_ = wall_ms();
    unsigned sequence_ = 0;
    std::mutex mutex_;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 9)
    {
        std::fprintf(stderr, "usage: target ADDRESS PORT INSTANCE SERVICE ZONE CONTROL_PORT FILE "
                             "RUN_MS\n");
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    target served(argv);
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
