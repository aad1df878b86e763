#ifndef BAMBOOHOIST_REVIEW_DEPLOYMENT_HPP
#define BAMBOOHOIST_REVIEW_DEPLOYMENT_HPP

#include "support.hpp"

namespace review {

/// A route of the operator's document.
struct route
{
    std::string host_;
    std::string prefix_;
    std::string service_;
    bool idempotent_ = true;
};

/// The operator's document with the services `certs`, `ordenes` and `cotiza`.
std::string operator_document(int version, const std::vector<route>& routes);

/// One request that a target began to run.
struct run
{
    std::string id_;
    std::string path_;
    std::string caller_service_;
    std::int64_t at_ms_ = 0;
    bool cut_ = false; ///< The target ended while it was at work on it.
};

/// A target beside one node: announces itself every 1.5 s and answers requests after a time.
class target
{
public:
    target(record_file& record, std::string id, std::string service, std::string zone, int work_ms);
    ~target();

    std::string address() const
    {
        return service_.address();
    }
    const std::string& service() const
    {
        return state_.service_;
    }
    /// Begins to send heartbeats to this node.
    void announce_to(node& beside);
    /// Sends one heartbeat now; returns the status of the answer, 0 without one.
    int beat();
    /// Makes the next heartbeat and does not send it: the network delivers it late.
    http_message delayed_beat();
    int deliver(const http_message& beat);
    void stop_beats();
    /// Announces its end. `with_born` adds the field `born`.
    int deregister(bool with_born);
    /// The process ends: its connections break and its port refuses new ones.
    void end();
    std::vector<run> runs();
    /// Answers get so many bytes of further header fields.
    void set_further_fields(std::size_t bytes)
    {
        further_bytes_ = bytes;
    }

private:
    void handle(connection& peer, const http_message& request);

    record_file& record_;
    target_state state_;
    int work_ms_;
    node* beside_ = nullptr;
    std::atomic<bool> beating_ = false;
    std::atomic<bool> ended_ = false;
    std::atomic<std::size_t> further_bytes_ = 0;
    std::mutex mutex_;
    std::vector<run> runs_;
    std::thread beats_;
    http_service service_;
};

/// One answer as a client saw it. The status is 0 when there was no whole answer.
struct outcome
{
    std::string id_;
    std::string via_;
    int status_ = 0;
    std::int64_t sent_ms_ = 0;
};

/// Clients beside one node that send requests one after the other, each on a new connection.
class clients
{
public:
    clients(record_file& record, node& via, std::string name, std::string host, std::string path,
            std::string method, int period_ms);
    ~clients();
    void stop();
    std::vector<outcome> outcomes();

private:
    void send_one(int number);

    record_file& record_;
    node& via_;
    std::string name_;
    std::string host_;
    std::string path_;
    std::string method_;
    int period_ms_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> pending_ = 0;
    std::mutex mutex_;
    std::vector<outcome> outcomes_;
    std::thread thread_;
};

/// Milliseconds since the start of this program.
std::int64_t elapsed_ms();

/// False when TROUBLE=0.
bool with_trouble();

/// Ends the case: it could not run.
[[noreturn]] void cannot_run(const std::string& why);

/// Whether a rule was broken, and what was seen.
struct verdict
{
    bool broken_ = false;
    std::string seen_;
};

/// Runs a case and writes its result. Returns the exit status: 0 when the rule held, 1 when it was
/// broken, 2 when the case could not run.
int run_case(const std::function<verdict(record_file&)>& body);

} // namespace review

#endif
