#ifndef BAMBOOHOIST_DAEMON_NODE_HPP
#define BAMBOOHOIST_DAEMON_NODE_HPP

#include "daemon/control.hpp"
#include "daemon/guard.hpp"
#include "daemon/ingress.hpp"
#include "daemon/traffic_thread.hpp"

#include <memory>
#include <vector>

namespace bamboohoist {

/// The addresses on which a started node listens.
struct node_addresses
{
    std::vector<endpoint> callers_; ///< One for each ingress thread.
    endpoint operators_;
    endpoint announce_;
    endpoint peers_;
    endpoint gossip_;
    std::optional<endpoint> ready_; ///< Empty when the settings name no readiness address.
};

/// Owns the threads of one node, which form the supervisor tree: the guard's thread, the ingress
/// threads and the control thread. Passes messages between control and the traffic threads.
class node : private traffic_interface, private guard_listener
{
public:
    node(settings node_settings, const deployment& active_deployment, process_metrics& metrics);
    ~node() override;

    /// Starts the supervisor tree. On false the last reason says why.
    bool start();

    /// Applies the changed settings that a running node can change, and logs `cause` and whether
    /// others need a restart.
    void reload(const settings& changed, std::string_view cause);

    /// Leaves the fleet: new requests are refused, and requests in flight may complete until the
    /// leave limit; the remaining ones are then answered with what is known about them.
    /// `wait_for_stop_signal` waits for at most the given time and returns whether another request
    /// to stop has come; the leave limit then starts again.
    void leave(const std::function<bool(duration)>& wait_for_stop_signal);

    node_addresses addresses() const;

private:
    using guard_thread = traffic_thread<guard>;
    using ingress_thread = traffic_thread<ingress>;

    void publish(fleet_ptr fleet, std::function<void()> on_fleet_set) override;
    void set_local_targets(std::vector<local_target> targets) override;
    void record_remote_crash(std::string crash_id, std::vector<std::uint64_t> suspects) override;
    void release(std::uint64_t fingerprint) override;
    void on_health_changed(target_health_change change) override;
    void on_crash(target_crash crash) override;
    /// Requests of callers or of other nodes that are not finished.
    std::size_t unfinished();
    instant leave_limit() const;
    void quiesce(instant limit);
    /// Serves on while the node leaves, until no request is unfinished or the leave limit has
    /// passed. Returns that limit.
    instant serve_while_leaving(const std::function<bool(duration)>& wait_for_stop_signal);
    /// Ends the service of a leaving node: what arrives now is refused, what has arrived finishes
    /// until the limit, and all responses are written.
    void finish_requests(instant limit);
    void wait_until_finished(instant limit);
    void wait_until(instant when);
    void for_each_ingress(const std::function<void(ingress&)>& task);
    void record_event(std::string_view what, std::string_view rule);
    /// Runs a task on the thread of a loop and waits for its end.
    void run_on_loop(event_loop& loop, const std::function<void()>& task);

    const settings settings_; ///< As at the start; read by all threads.
    std::uint32_t leave_open_ms_;
    std::uint32_t leave_limit_ms_;
    const deployment& deployment_;
    system_clock clock_;
    process_metrics& metrics_;
    memory_account memory_; ///< Shared by all threads.
    event_loop control_loop_;
    random_source control_random_;
    hybrid_logical_clock hybrid_clock_;
    event_log events_;
    call_failures call_failures_;
    control_context context_;
    std::unique_ptr<guard_thread> guard_;
    std::vector<std::unique_ptr<ingress_thread>> ingresses_;
    std::unique_ptr<control> control_;
    std::unique_ptr<loop_thread> control_thread_;
    supervisor root_;
};

} // namespace bamboohoist

#endif
