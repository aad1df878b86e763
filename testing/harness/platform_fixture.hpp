#ifndef BAMBOOHOIST_TESTING_PLATFORM_FIXTURE_HPP
#define BAMBOOHOIST_TESTING_PLATFORM_FIXTURE_HPP

#include "core/random_source.hpp"
#include "harness/process.hpp"
#include "harness/temporary_file.hpp"
#include "stand_in/platform_store.hpp"
#include "stand_in/proxy_path.hpp"

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace bamboohoist::testing {

/// A request as the stand-in target received it.
struct received_request
{
    std::string method_;
    std::string target_;
    header_list headers_;
    std::string body_;
};

/// A daemon on a VM of its own, without a target.
struct further_node
{
    std::unique_ptr<temporary_file> file_;
    std::unique_ptr<process> process_;
    nlohmann::json addresses_;
};

/// One VM of the users' platform on loopback: a stand-in store, the path to it and a stand-in
/// target, which share a thread of this process, and one real process of the daemon. Daemons of
/// further VMs can be added.
class platform_fixture
{
public:
    /// Returns the target's response. A request for which its status is 0 is held until
    /// `respond_to_held()`.
    using target_handler = std::function<response_message(const request_message&)>;

    /// Starts the store and the target. The daemon is started by `start_node()`.
    explicit platform_fixture(target_handler on_request);
    ~platform_fixture();

    platform_fixture(const platform_fixture&) = delete;
    platform_fixture& operator=(const platform_fixture&) = delete;

    /// Starts the daemon, after ending the one that runs.
    void start_node();
    process& node();

    /// Writes another service to the daemon's settings file and signals that the file has changed.
    void change_service(std::string_view service);

    /// Ends the daemon of another VM and starts it again.
    void restart_further_node(further_node& node, std::string_view name,
                              std::string_view store_address);

    /// Starts the daemon of another VM, which expects the store at this address. One whose name
    /// begins with `z2-` is in the zone z2, all others are in z1.
    further_node& start_further_node(std::string_view name, std::string_view store_address);

    /// The connections to the store that are open now carry nothing any more; new ones work.
    void silence_store_connections();

    /// Runs a function on the thread of the store and the target and waits for its end.
    void run_with_store(const std::function<void(platform_store&)>& task);

    /// Sends a heartbeat of the target and returns the status of the response.
    int send_heartbeat(std::string_view instance, std::string_view state, std::uint64_t sequence,
                       std::int64_t born_ms);

    /// The same for a target beside another daemon.
    int send_heartbeat(const further_node& node, std::string_view instance, std::string_view state,
                       std::uint64_t sequence, std::int64_t born_ms);

    /// The same for a target of the test's own at this address.
    int send_heartbeat(std::string_view instance, std::string_view address);

    /// Sends the announcement of the target that it has ended, and returns the status of the
    /// response.
    int send_deregistration(std::string_view instance, std::int64_t born_ms);
    static int send_deregistration(const further_node& node, std::string_view instance,
                                   std::int64_t born_ms);

    /// The same without the target's start, which the announcement of an end need not name.
    int send_deregistration(std::string_view instance);

    /// The target's process ends at once: its connections break, and its port refuses new ones.
    void crash_target();

    /// Starts the target again, at another port.
    void restart_target();

    /// Waits until the readiness address responds with this status. False on a time-out.
    bool wait_ready(int status);
    static bool wait_ready(const further_node& node, int status);

    /// The address at which other nodes reach the daemon by datagrams.
    std::string gossip_address() const;

    std::string callers() const;

    /// The counters of the daemon, in the format of Prometheus.
    std::string metrics() const;
    std::string announce_address() const;
    std::string target_address() const;

    /// The address at which a daemon of the first VM reaches the store.
    std::string store_address() const;
    std::vector<received_request> received();

    /// Waits until the target has received a request for this path. False on a time-out.
    bool wait_received(std::string_view target);

    /// Responds to the requests that the target holds.
    void respond_to_held(const target_handler& respond);

private:
    static int post_deregistration(const std::string& announce, std::string_view instance,
                                   const nlohmann::json& body);
    static int post_heartbeat(const std::string& announce, std::string_view instance,
                              std::string_view address, std::string_view state,
                              std::uint64_t sequence, std::int64_t born_ms);
    void on_call(const exchange_ptr& call);
    std::string boot_settings(std::string_view name, std::string_view store_address,
                              std::string_view service = "orders") const;

    process_metrics metrics_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<platform_store> store_;
    random_source random_{1};
    std::unique_ptr<proxy_path> store_path_;
    std::unique_ptr<http_server> target_;
    target_handler on_request_;
    std::vector<received_request> received_; ///< Used on the loop's thread only.
    std::vector<exchange_ptr> held_;         ///< Used on the loop's thread only.
    nlohmann::json addresses_;               ///< Of the running daemon.
    std::unique_ptr<temporary_file> file_;
    std::unique_ptr<process> node_;
    std::vector<std::unique_ptr<further_node>> further_nodes_;
    std::thread thread_;
};

} // namespace bamboohoist::testing

#endif
