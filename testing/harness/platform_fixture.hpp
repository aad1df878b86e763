#ifndef BAMBOOHOIST_TESTING_PLATFORM_FIXTURE_HPP
#define BAMBOOHOIST_TESTING_PLATFORM_FIXTURE_HPP

#include "harness/process.hpp"
#include "harness/temporary_file.hpp"
#include "stand_in/platform_store.hpp"

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace bamboohoist::testing {

/// A request as the stand-in target got it.
struct received_request
{
    std::string method_;
    std::string target_;
    header_list headers_;
    std::string body_;
};

/// One VM of the users' platform on loopback: the stand-in store and a target, both on a thread of
/// this process, and one real daemon between them and the test.
class platform_fixture
{
public:
    /// A request with an answer of the status 0 is held.
    using target_handler = std::function<response_message(const request_message&)>;

    /// Starts store and target; the daemon starts with `start_node()`.
    explicit platform_fixture(target_handler on_request);
    ~platform_fixture();

    platform_fixture(const platform_fixture&) = delete;
    platform_fixture& operator=(const platform_fixture&) = delete;

    /// Starts the daemon, or starts it again.
    void start_node();
    process& node();

    /// Runs on the thread of store and target, and waits for it.
    void run_with_store(const std::function<void(platform_store&)>& use);

    /// Sends a heartbeat of the target; the status of the answer.
    int send_heartbeat(std::string_view instance, std::string_view state, std::uint64_t sequence,
                       std::int64_t born_ms);

    /// Waits until the readiness address answers with this status.
    bool wait_ready(int status);

    std::string callers() const;
    std::string control() const;
    std::string target_address() const;
    std::vector<received_request> received();

    /// Waits until the target has got a request for this path.
    bool wait_received(std::string_view target);

    /// Answers the requests that the target holds.
    void respond_to_held(const target_handler& answer);

private:
    void on_call(const exchange_ptr& call);
    std::string boot_settings() const;

    process_metrics metrics_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<platform_store> store_;
    std::unique_ptr<http_server> target_;
    target_handler on_request_;
    std::vector<received_request> seen_; ///< On the loop's thread.
    std::vector<exchange_ptr> held_;
    nlohmann::json addresses_; ///< Of the running daemon.
    std::unique_ptr<temporary_file> file_;
    std::unique_ptr<process> node_;
    std::thread thread_;
};

} // namespace bamboohoist::testing

#endif
