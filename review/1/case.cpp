// The processes of one zone get SIGTERM at the same time while clients go on with their open
// connections. Looks for requests that were passed on to a target and got no answer.

#include "../stand_in/deployment.hpp"

#include <csignal>
#include <iostream>
#include <random>

using namespace review;

namespace {

constexpr int clients_per_machine = 30;
constexpr double seconds_between_requests = 3.75; ///< Mean, for each client.
constexpr double run_limit_s = 85.0;
constexpr milliseconds grace(6000);
constexpr milliseconds calm(4500); ///< Longer than `StableWindow`.
constexpr milliseconds work(120);
constexpr double after_grace_s = 7.0;
constexpr double last_sixth_s = 5.0;
constexpr double early_s = 3.0;
constexpr int deadline_ms = 4000;

/// A request that its client sent and how that ended.
struct sent_request
{
    std::string attempt_;
    std::string machine_;
    double sent_s_ = 0.0;
    double ended_s_ = 0.0;
    int status_ = 0; ///< 0: the connection ended without a complete answer.
};

/// What the platform does with readiness: two misses in a row take a machine out, unless fewer than
/// half of its zone's machines are in.
class entry
{
public:
    explicit entry(std::vector<const machine*> zone) : zone_(std::move(zone))
    {
        for (std::size_t i = 0; i < zone_.size(); ++i)
        {
            misses_.push_back(0);
        }
    }

    void probe()
    {
        for (std::size_t i = 0; i < zone_.size(); ++i)
        {
            const bool ready = zone_[i]->ready();
            const std::lock_guard lock(mutex_);
            misses_[i] = ready ? 0 : misses_[i] + 1;
        }
    }

    bool admits(const machine& wanted)
    {
        const std::lock_guard lock(mutex_);
        std::size_t in = 0;
        bool wanted_in = false;
        for (std::size_t i = 0; i < zone_.size(); ++i)
        {
            in += misses_[i] < 2 ? 1 : 0;
            wanted_in |= zone_[i] == &wanted && misses_[i] < 2;
        }
        return wanted_in || in * 2 < zone_.size();
    }

private:
    std::vector<const machine*> zone_;
    std::mutex mutex_;
    std::vector<int> misses_;
};

/// One client with one connection that it keeps open.
class client
{
public:
    client(const machine& local, entry& admission, recorder& notes, int number)
        : local_(local), admission_(admission), notes_(notes), number_(number),
          random_(static_cast<unsigned>(number)), thread_([this] { run(); })
    {
    }

    ~client()
    {
        stop();
    }

    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void stop()
    {
        stopping_ = true;
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    const std::vector<sent_request>& requests() const
    {
        return requests_;
    }

private:
    void run()
    {
        std::exponential_distribution<double> gap(1.0 / seconds_between_requests);
        while (!stopping_)
        {
            const auto next = steady::now() + std::chrono::duration_cast<steady::duration>(
                                                  std::chrono::duration<double>(gap(random_)));
            while (!stopping_ && steady::now() < next)
            {
                pause(milliseconds(5));
            }
            if (!stopping_ && admission_.admits(local_))
            {
                send();
            }
        }
    }

    void send()
    {
        if (!open_ || open_->closed_by_peer())
        {
            open_ = connect_to(local_.outbound());
        }
        if (!open_)
        {
            return;
        }
        sent_request sent;
        sent.attempt_ = "c" + std::to_string(number_) + "-" + std::to_string(requests_.size());
        sent.machine_ = local_.name();
        sent.sent_s_ = notes_.seconds();
        notes_.write("client on " + sent.machine_ + " sends " + sent.attempt_);
        const bool written =
            open_->send(make_request("POST", "/pay/1", sent.attempt_, deadline_ms));
        const auto response =
            written ? open_->read(milliseconds(deadline_ms)) : std::optional<http_message>();
        sent.status_ = response ? response->status() : 0;
        sent.ended_s_ = notes_.seconds();
        notes_.write(response ? sent.attempt_ + " is answered " + std::to_string(sent.status_)
                              : sent.attempt_ + ": its connection ends without an answer");
        if (!response || response->field("Connection") == "close")
        {
            open_.reset();
        }
        requests_.push_back(std::move(sent));
    }

    const machine& local_;
    entry& admission_;
    recorder& notes_;
    int number_;
    std::mt19937 random_;
    std::unique_ptr<connection> open_;
    std::vector<sent_request> requests_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// Stops the processes of the zone as the platform does, and starts them again.
double restart_zone(machine& one, machine& two, const recorder& notes, bool& killed)
{
    const double term_s = notes.seconds();
    one.signal(SIGTERM);
    two.signal(SIGTERM);
    const auto end = steady::now() + grace;
    const auto left = [end] { return std::chrono::ceil<milliseconds>(end - steady::now()); };
    killed |= !one.wait_end(left());
    killed |= !two.wait_end(left());
    one.start();
    two.start();
    return term_s;
}

} // namespace

int main(int, char** arguments)
{
    recorder notes(std::string(arguments[1]) + "/record.txt");
    run_log runs;
    const endpoint store_at{"127.0.1.100", free_port("127.0.1.100")};
    store platform(store_at);
    platform.put(
        "op/config",
        make_document(1, {{"r-pay", make_route("/pay/", "non_idempotent", "orders", "2000ms")}},
                      {"orders", "quotes"}));
    machine one("sidecar-z1-1", "z1", "127.0.1.1", "quotes", store_at, notes);
    machine two("sidecar-z1-2", "z1", "127.0.1.2", "quotes", store_at, notes);
    machine three("sidecar-z2-1", "z2", "127.0.1.3", "orders", store_at, notes);
    machine four("sidecar-z2-2", "z2", "127.0.1.4", "orders", store_at, notes);
    for (machine* item : {&one, &two, &three, &four})
    {
        item->start();
    }
    bool started = true;
    for (machine* item : {&one, &two, &three, &four})
    {
        started &= item->wait_ready(milliseconds(10000));
    }
    target at_three("i-1", "orders", three.app(), 12, work, notes, runs);
    target at_four("i-2", "orders", four.app(), 12, work, notes, runs);
    at_three.start_beats(three.control());
    at_four.start_beats(four.control());
    entry admission({&one, &two});
    std::atomic<bool> stopping = false;
    std::thread prober([&] {
        while (!stopping)
        {
            admission.probe();
            pause(milliseconds(1000));
        }
    });
    pause(calm);
    std::vector<std::unique_ptr<client>> clients;
    for (int i = 0; i < clients_per_machine; ++i)
    {
        clients.push_back(std::make_unique<client>(one, admission, notes, i * 2));
        clients.push_back(std::make_unique<client>(two, admission, notes, i * 2 + 1));
    }
    std::vector<double> stops;
    bool killed = false;
    while (started && notes.seconds() < run_limit_s)
    {
        pause(calm);
        if (with_trouble())
        {
            stops.push_back(restart_zone(one, two, notes, killed));
            started &= one.wait_ready(milliseconds(10000)) && two.wait_ready(milliseconds(10000));
        }
    }
    pause(milliseconds(1000));
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t lost = 0;
    for (const auto& item : clients)
    {
        item->stop();
    }
    const auto ran = runs.all();
    for (const auto& item : clients)
    {
        for (const sent_request& request : item->requests())
        {
            ++sent;
            served += request.status_ == 200 ? 1 : 0;
            const bool passed_on = std::ranges::any_of(
                ran, [&](const run_record& run) { return run.attempt_ == request.attempt_; });
            if (request.status_ != 0 || !passed_on)
            {
                continue;
            }
            // Beside a stop only, and less what the rule excuses in the last sixth of `Grace`.
            const bool counts = std::ranges::any_of(stops, [&](double term_s) {
                const bool excused =
                    request.ended_s_ > term_s + last_sixth_s && request.sent_s_ <= term_s + early_s;
                return request.sent_s_ < term_s + after_grace_s && request.ended_s_ > term_s &&
                       !excused;
            });
            lost += counts || stops.empty() ? 1 : 0;
            notes.write((counts ? "LOST: " : "without an answer: ") + request.attempt_ + " on " +
                        request.machine_ + ", sent at " + std::to_string(request.sent_s_) +
                        " s, ended at " + std::to_string(request.ended_s_) + " s");
        }
    }
    const std::string summary = std::to_string(stops.size()) + " stops, " + std::to_string(sent) +
                                " requests sent, " + std::to_string(served) + " served, " +
                                std::to_string(lost) + " lost" +
                                (killed ? "; a process outlived Grace" : "");
    notes.write(summary);
    std::cout << summary << '\n';
    stopping = true;
    prober.join();
    at_three.end();
    at_four.end();
    for (machine* item : {&one, &two, &three, &four})
    {
        item->kill();
    }
    platform.stop();
    remove_work_folder();
    return !started || served == 0 ? 2 : lost > 0 ? 1 : 0;
}
