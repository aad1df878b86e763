#ifndef BAMBOOHOIST_DAEMON_NODE_HPP
#define BAMBOOHOIST_DAEMON_NODE_HPP

#include "daemon/control.hpp"
#include "daemon/guard.hpp"
#include "daemon/ingress.hpp"
#include "daemon/traffic_thread.hpp"

#include <memory>
#include <vector>

namespace bamboohoist {

/// The addresses under which a started node can be reached.
struct node_addresses
{
    std::vector<endpoint> callers_; ///< One for each ingress thread.
    endpoint operators_;
    endpoint announce_;
    endpoint peers_;
    endpoint gossip_;
    std::optional<endpoint> ready_; ///< Where readiness is asked for, if anywhere.
};

/// The root of the supervisor tree: the guard's thread, the ingress threads and control.
class node : private traffic_interface, private guard_listener
{
public:
    node(settings own, const deployment& place, process_metrics& metrics);
    ~node() override;

    /// Starts the whole tree. On false the last reason says why.
    bool start();

    /// Takes changed settings into force as far as a running node can, and says what has to wait
    /// for its next start. `cause` is told in the log.
    void reload(const settings& changed, std::string_view cause);

    /// Leaves the fleet: new work is refused, work in hand is finished, then the tree stops.
    /// `asked_again` tells whether the stop was asked for once more since it was last called; the
    /// limit for the work in hand then begins anew.
    void leave(const std::function<bool()>& asked_again);

    node_addresses addresses() const;

private:
    using guard_thread = traffic_thread<guard>;
    using ingress_thread = traffic_thread<ingress>;

    void publish(fleet_ptr fleet, std::function<void()> on_adopted) override;
    void set_local_targets(std::vector<local_target> targets) override;
    void record_remote_crash(std::string crash, std::vector<std::uint64_t> blamed) override;
    void release(std::uint64_t fingerprint) override;
    void on_health_changed(target_health_change verdict) override;
    void on_crash(target_crash crash) override;
    std::size_t in_flight();
    instant leave_limit() const;
    void quiesce(instant limit);
    void wait_until(instant when);
    void record_event(std::string_view what, std::string_view rule);
    void run_on(event_loop& loop, const std::function<void()>& work);

    const settings settings_; ///< As at the start; read by all threads.
    std::uint32_t leave_open_ms_;
    std::uint32_t leave_limit_ms_;
    const deployment& deployment_;
    system_clock clock_;
    process_metrics& metrics_;
    event_loop control_loop_;
    random_source control_random_;
    hybrid_logical_clock hybrid_;
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
