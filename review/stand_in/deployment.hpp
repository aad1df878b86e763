#ifndef BAMBOOHOIST_REVIEW_DEPLOYMENT_HPP
#define BAMBOOHOIST_REVIEW_DEPLOYMENT_HPP

#include "http.hpp"

#include <condition_variable>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using json = nlohmann::json;

/// The record of a case: what was sent, answered and run, with the time since the start.
class recorder
{
public:
    explicit recorder(const std::string& path);

    void write(const std::string& line);
    double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point begin_ = steady::now();
};

/// The platform's key-value store. Leases never end by themselves.
class store
{
public:
    explicit store(const endpoint& local);

    void put(const std::string& key, const std::string& value);
    void stop();

private:
    struct item
    {
        std::string value_; ///< In base64, as on the wire.
        std::uint64_t revision_ = 0;
        std::uint64_t lease_ = 0;
    };

    std::optional<http_message> handle(const http_message& request);
    json range(const std::string& prefix) const;
    json watch(const std::string& prefix, std::uint64_t after, milliseconds wait);
    http_message commit(const json& transaction);

    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::map<std::string, item> items_;
    std::map<std::string, std::uint64_t> tombstones_;
    std::uint64_t revision_ = 100;
    std::uint64_t next_lease_ = 1;
    std::map<std::uint64_t, bool> leases_;
    http_server server_;
};

/// A request that a target has begun to run.
struct run_record
{
    std::string attempt_;
    std::string target_;
    std::string caller_service_;
    double at_s_ = 0.0;
    bool finished_ = false; ///< The response was sent; else the connection closed before.
};

/// Everything that the targets of a deployment have run.
class run_log
{
public:
    std::size_t begin(run_record started);
    void finish(std::size_t index);
    std::vector<run_record> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<run_record> runs_;
};

/// One application target. Works for a fixed time on each request, and drops a request when its
/// connection closes.
class target
{
public:
    target(std::string id, std::string service, const endpoint& address, std::size_t slots,
           milliseconds work, recorder& notes, run_log& runs);

    /// Sends a heartbeat. True when it was acknowledged.
    bool beat(const endpoint& control, const std::string& state, std::uint64_t sequence) const;
    bool deregister(const endpoint& control) const;

    /// Sends a heartbeat every 1.5 s until `stop_beats()`.
    void start_beats(const endpoint& control);
    void stop_beats();

    /// Sets the flag and stops answering when a request for this path begins to run.
    void crash_on(const std::string& path, std::atomic<bool>& flag);

    /// Ends the target: closes its port and its connections.
    void end();

    const std::string& id() const;
    std::uint64_t sequence() const;

private:
    std::optional<http_message> handle(const http_message& request, connection& peer);
    bool post(const endpoint& control, const std::string& path, const json& body) const;
    bool crashes(const std::string& path);

    std::string id_;
    std::string service_;
    endpoint address_;
    std::size_t slots_;
    milliseconds work_;
    recorder& notes_;
    run_log& runs_;
    std::int64_t born_ms_;
    std::atomic<std::uint64_t> sequence_ = 0;
    std::atomic<std::size_t> running_ = 0;
    std::atomic<bool> ended_ = false;
    std::string crash_path_;
    std::atomic<bool>* crashed_ = nullptr;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool beating_ = false;
    std::thread beats_;
    std::unique_ptr<http_server> server_;
};

/// A machine of class `sidecar`: its addresses and the process of the deploy file on it.
class machine
{
public:
    machine(std::string name, std::string zone, std::string ip, std::string service,
            const endpoint& store_address, recorder& notes);
    ~machine();

    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;

    void start();
    void signal(int number) const;
    /// Waits for the end of the process; kills it when the limit is over. False when it was killed.
    bool wait_end(milliseconds limit);
    void kill();

    /// True when the process answers the readiness question with 200.
    bool ready() const;
    bool wait_ready(milliseconds limit) const;

    /// Changes the service of this machine's target in the settings file.
    void change_service(const std::string& service);

    const std::string& name() const;
    endpoint outbound() const;
    endpoint control() const;
    endpoint app() const;

private:
    void write_settings() const;
    void collect();

    std::string name_;
    std::string zone_;
    std::string ip_;
    std::string service_;
    endpoint store_;
    recorder& notes_;
    std::map<std::string, std::uint16_t> ports_;
    std::string file_;
    pid_t pid_ = -1;
};

/// A folder for the settings files and logs of one run; removed at the end.
const std::string& work_folder();
void remove_work_folder();

/// A route of the operator's document.
json make_route(const std::string& prefix, const std::string& kind, const std::string& service,
                const std::string& timeout);
/// An operator's document with these routes.
std::string make_document(std::uint64_t version, const json& routes,
                          const std::vector<std::string>& services);

/// A client's request with a new attempt id.
http_message make_request(const std::string& method, const std::string& path,
                          const std::string& attempt, int deadline_ms);

void pause(milliseconds time);

/// False when the environment asks for the run without the disruption.
bool with_trouble();

} // namespace review

#endif
