// A request crashes each target that begins to run it, and comes again. Once the fleet refuses it,
// the processes of the machines are stopped and started in turn. Looks for how often the request
// still reaches targets.

#include "../stand_in/deployment.hpp"

#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr std::size_t machine_count = 4;
constexpr milliseconds work(60);
constexpr milliseconds target_down(2000);
constexpr milliseconds stable_window(3000);
constexpr milliseconds margin(500);
constexpr milliseconds grace(6000);
constexpr milliseconds poison_period(250);
constexpr milliseconds poison_time(9000); ///< The request comes again for this time in one phase.
constexpr milliseconds traffic_period(100);
constexpr int deadline_ms = 4000;
constexpr std::size_t allowed_runs = 3;
constexpr const char* poison_path = "/read/poison";

/// The target of a machine. It crashes when it begins to run the poisonous request, and is back
/// some seconds later with a new identifier at the same address.
class crashing_target
{
public:
    crashing_target(const machine& local, std::string name, recorder& notes, run_log& runs)
        : local_(local), name_(std::move(name)), notes_(notes), runs_(runs),
          thread_([this] { run(); })
    {
    }

    ~crashing_target()
    {
        stopping_ = true;
        thread_.join();
    }

    crashing_target(const crashing_target&) = delete;
    crashing_target& operator=(const crashing_target&) = delete;

private:
    void run()
    {
        for (int start = 1; !stopping_; ++start)
        {
            std::atomic<bool> poisoned = false;
            target process(name_ + "-" + std::to_string(start), "orders", local_.app(), 3, work,
                           notes_, runs_);
            process.crash_on(poison_path, poisoned);
            process.start_beats(local_.control());
            while (!stopping_ && !poisoned)
            {
                pause(milliseconds(1));
            }
            process.end();
            if (!stopping_)
            {
                pause(target_down);
            }
        }
    }

    const machine& local_;
    std::string name_;
    recorder& notes_;
    run_log& runs_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// Sends one request on a new connection and returns the status of its answer.
int call(const machine& local, const std::string& path, const std::string& attempt)
{
    const auto open = connect_to(local.outbound());
    if (!open || !open->send(make_request("GET", path, attempt, deadline_ms)))
    {
        return 0;
    }
    const auto response = open->read(milliseconds(deadline_ms));
    return response ? response->status() : 0;
}

/// Lets the poisonous request come again and again for a while.
void send_poison(const machine& local, recorder& notes, int& number)
{
    const auto until = steady::now() + poison_time;
    while (steady::now() < until)
    {
        const std::string attempt = "poison-" + std::to_string(++number);
        const int status = call(local, poison_path, attempt);
        notes.write(attempt + " is answered " + std::to_string(status));
        pause(poison_period);
    }
}

} // namespace

int main(int, char** arguments)
{
    recorder notes(std::string(arguments[1]) + "/record.txt");
    run_log runs;
    const endpoint store_at{"127.0.3.100", free_port("127.0.3.100")};
    store platform(store_at);
    platform.put("op/config",
                 make_document(1,
                               {{"r-read", make_route("/read/", "idempotent", "orders", "2000ms")}},
                               {"orders", "quotes"}));
    machine caller("sidecar-z2-1", "z2", "127.0.3.9", "quotes", store_at, notes);
    std::vector<std::unique_ptr<machine>> machines;
    for (std::size_t i = 1; i <= machine_count; ++i)
    {
        machines.push_back(std::make_unique<machine>("sidecar-z1-" + std::to_string(i), "z1",
                                                     "127.0.3." + std::to_string(i), "orders",
                                                     store_at, notes));
        machines.back()->start();
    }
    caller.start();
    bool started = caller.wait_ready(milliseconds(10000));
    std::vector<std::unique_ptr<crashing_target>> targets;
    for (std::size_t i = 0; i < machine_count; ++i)
    {
        started &= machines[i]->wait_ready(milliseconds(10000));
        targets.push_back(std::make_unique<crashing_target>(
            *machines[i], "i-" + std::to_string(i + 1), notes, runs));
    }
    pause(stable_window + margin);
    std::atomic<bool> stopping = false;
    int served = 0;
    std::thread traffic([&] {
        for (int i = 0; !stopping; ++i)
        {
            const std::string attempt = "c-" + std::to_string(i);
            served += call(caller, "/read/" + std::to_string(i), attempt) == 200 ? 1 : 0;
            pause(traffic_period);
        }
    });
    int number = 0;
    send_poison(caller, notes, number);
    for (const auto& item : machines)
    {
        if (with_trouble())
        {
            item->signal(SIGTERM);
            started &= item->wait_end(grace);
            item->start();
            started &= item->wait_ready(milliseconds(10000));
        }
        // The request comes again only while all machines are in touch.
        pause(stable_window + margin);
        send_poison(caller, notes, number);
    }
    stopping = true;
    traffic.join();

    std::size_t poison_runs = 0;
    std::size_t late_runs = 0;
    double third_s = 0.0;
    for (const run_record& run : runs.all())
    {
        if (!run.attempt_.starts_with("poison"))
        {
            continue;
        }
        ++poison_runs;
        third_s = poison_runs == 3 ? run.at_s_ : third_s;
        if (poison_runs > 3 && run.at_s_ > third_s + 3.0)
        {
            ++late_runs;
            notes.write("BUDGET: " + run.attempt_ + " reached " + run.target_ + " " +
                        std::to_string(run.at_s_ - third_s) + " s after the third crash");
        }
    }
    const std::string summary = std::to_string(poison_runs) + " crashes in all, " +
                                std::to_string(late_runs) +
                                " later than StableWindow after the third; " +
                                std::to_string(served) + " other requests served";
    notes.write(summary);
    std::cout << summary << '\n';
    targets.clear();
    caller.kill();
    for (const auto& item : machines)
    {
        item->kill();
    }
    platform.stop();
    remove_work_folder();
    return !started || served == 0 || poison_runs == 0 ? 2 : late_runs > allowed_runs ? 1 : 0;
}
