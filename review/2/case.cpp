// A target says that it is gone and serves on for a while. The process beside it is killed and
// starts again, and an old heartbeat of the target arrives late. Looks for requests that reach the
// target later than `Drain` after its leaving was acknowledged.

#include "../stand_in/deployment.hpp"

#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr milliseconds kill_after(500);
constexpr milliseconds restart_after(500);
constexpr milliseconds stable_window(3000);
constexpr milliseconds margin(500);
constexpr milliseconds serve_on(4000); ///< After the late heartbeat.
constexpr milliseconds request_period(60);
constexpr milliseconds work(400);
constexpr double drain_s = 2.5;
constexpr int deadline_ms = 4000;

/// Sends requests on a machine, each on a connection and a thread of its own.
class client
{
public:
    client(const machine& local, recorder& notes)
        : local_(local), notes_(notes), thread_([this] { run(); })
    {
    }

    void stop()
    {
        stopping_ = true;
        thread_.join();
        for (std::thread& item : requests_)
        {
            item.join();
        }
    }

    int served() const
    {
        return served_;
    }

private:
    void run()
    {
        for (int i = 0; !stopping_; ++i)
        {
            requests_.emplace_back([this, i] { send("c-" + std::to_string(i)); });
            pause(request_period);
        }
    }

    void send(const std::string& attempt)
    {
        const auto open = connect_to(local_.outbound());
        if (!open || !open->send(make_request("POST", "/pay/1", attempt, deadline_ms)))
        {
            return;
        }
        const auto response = open->read(milliseconds(deadline_ms));
        const int status = response ? response->status() : 0;
        served_ += status == 200 ? 1 : 0;
        notes_.write(attempt + " is answered " + std::to_string(status));
    }

    const machine& local_;
    recorder& notes_;
    std::atomic<int> served_ = 0;
    std::atomic<bool> stopping_ = false;
    std::vector<std::thread> requests_;
    std::thread thread_;
};

} // namespace

int main(int, char** arguments)
{
    recorder notes(std::string(arguments[1]) + "/record.txt");
    run_log runs;
    const endpoint store_at{"127.0.2.100", free_port("127.0.2.100")};
    store platform(store_at);
    platform.put(
        "op/config",
        make_document(1, {{"r-pay", make_route("/pay/", "non_idempotent", "orders", "2000ms")}},
                      {"orders", "quotes"}));
    machine one("sidecar-z1-1", "z1", "127.0.2.1", "orders", store_at, notes);
    machine two("sidecar-z1-2", "z1", "127.0.2.2", "orders", store_at, notes);
    machine three("sidecar-z1-3", "z1", "127.0.2.3", "quotes", store_at, notes);
    bool started = true;
    for (machine* item : {&one, &two, &three})
    {
        item->start();
    }
    for (machine* item : {&one, &two, &three})
    {
        started &= item->wait_ready(milliseconds(10000));
    }
    target leaving("i-1", "orders", one.app(), 3, work, notes, runs);
    target staying("i-2", "orders", two.app(), 3, work, notes, runs);
    leaving.start_beats(one.control());
    staying.start_beats(two.control());
    pause(stable_window + margin);
    client callers(three, notes);
    pause(milliseconds(2000));

    leaving.stop_beats();
    // Sent now, and held up on its way.
    const std::uint64_t late_sequence = leaving.sequence() + 1;
    const bool acknowledged = leaving.deregister(one.control());
    const double acknowledged_s = notes.seconds();
    notes.write("i-1 has said that it is gone; acknowledged: " + std::to_string(acknowledged));
    pause(kill_after);
    if (with_trouble())
    {
        one.kill();
        pause(restart_after);
        one.start();
        started &= one.wait_ready(milliseconds(10000));
    }
    pause(stable_window + margin);
    const bool taken = leaving.beat(one.control(), "ready", late_sequence);
    notes.write("the late heartbeat of i-1 arrives; acknowledged: " + std::to_string(taken));
    pause(serve_on);
    leaving.end();
    pause(milliseconds(1000));
    callers.stop();

    int late_runs = 0;
    int broken_off = 0;
    for (const run_record& run : runs.all())
    {
        if (run.target_ == "i-1" && run.at_s_ > acknowledged_s + drain_s)
        {
            ++late_runs;
            broken_off += run.finished_ ? 0 : 1;
            notes.write("DRAIN: " + run.attempt_ + " reached i-1 " +
                        std::to_string(run.at_s_ - acknowledged_s) +
                        " s after the acknowledgement" +
                        (run.finished_ ? "" : ", and was broken off by the target's end"));
        }
    }
    const std::string summary = std::to_string(late_runs) + " requests reached i-1 too late, " +
                                std::to_string(broken_off) + " of them broken off; " +
                                std::to_string(callers.served()) + " served in all";
    notes.write(summary);
    std::cout << summary << '\n';
    staying.end();
    for (machine* item : {&one, &two, &three})
    {
        item->kill();
    }
    platform.stop();
    remove_work_folder();
    return !started || !acknowledged || callers.served() == 0 ? 2 : late_runs > 0 ? 1 : 0;
}
