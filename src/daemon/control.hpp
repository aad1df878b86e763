#ifndef BAMBOOHOIST_DAEMON_CONTROL_HPP
#define BAMBOOHOIST_DAEMON_CONTROL_HPP

#include "daemon/announce_api.hpp"
#include "daemon/apply_coordinator.hpp"
#include "daemon/configuration.hpp"
#include "daemon/directory.hpp"
#include "daemon/guard.hpp"
#include "daemon/membership.hpp"
#include "daemon/operators_api.hpp"
#include "daemon/ready_api.hpp"
#include "daemon/stop_plan_executor.hpp"
#include "daemon/target_registry.hpp"
#include "daemon/timeline_collector.hpp"

namespace bamboohoist {

/// The way from control to the traffic threads. Calls return at once.
class traffic_interface
{
public:
    virtual ~traffic_interface() = default;

    /// Hands a snapshot to every traffic thread; `on_adopted` runs on the control thread once all
    /// of them use it.
    virtual void publish(fleet_ptr fleet, std::function<void()> on_adopted) = 0;

    virtual void set_local_targets(std::vector<local_target> targets) = 0;

    /// Tells the guard which requests were in hand at a crash elsewhere.
    virtual void record_remote_crash(std::string crash, std::vector<std::uint64_t> blamed) = 0;

    /// Tells the guard that an operator released a quarantined request.
    virtual void release(std::uint64_t fingerprint) = 0;
};

/// Everything that lives on the control thread, and how its parts hear of each other.
class control : public supervisor, private membership_listener, private configuration_listener
{
public:
    control(const control_context& context, traffic_interface& traffic);
    ~control() override;

    /// Sets where peers reach this node's guard. Before `start()`.
    void set_guard_port(std::uint16_t port);

    /// Takes changed settings into force as far as they can change while running.
    void reload(const settings& changed, std::string_view cause);

    /// Sends no new work to this node's targets and tells the fleet that it leaves.
    void leave();

    /// The guard's evidence.
    void on_health_changed(const target_health_change& verdict);
    void on_crash(const target_crash& crash);

    std::uint16_t operators_port() const;
    std::uint16_t announce_port() const;
    std::uint16_t gossip_port() const;
    std::uint16_t ready_port() const;

private:
    /// Tells membership the ports once the link has bound its own.
    class address_step : public child
    {
    public:
        explicit address_step(control& owner);
        std::string_view name() const override;
        bool start() override;
        void stop() override;

    private:
        control& owner_;
    };

    void on_members_changed() override;
    void on_revision_heard(std::uint64_t revision, bool accepted, const endpoint& gossip) override;
    void on_in_force(const domain_member& member, std::uint64_t revision) override;
    void on_blame(std::string_view target, std::span<const std::uint64_t> blamed) override;
    void on_revision(const ref_ptr<const active_revision>& active) override;
    void on_head(const revision_head& head) override;
    void on_targets_changed();
    void schedule_publish();
    void publish();
    void report_in_force();
    bool leads_domain() const;

    const control_context& context_;
    traffic_interface& traffic_;
    std::unique_ptr<store_client> store_;
    control_link link_;
    membership members_;
    configuration config_;
    directory directory_;
    target_registry targets_;
    apply_coordinator apply_;
    stop_plan_executor stops_;
    timeline_collector timeline_;
    quarantine_releaser releases_;
    operators_api operators_;
    announce_api announce_;
    ready_api ready_;
    address_step address_step_;
    timer publish_timer_;
    timer report_timer_;
    bool publish_scheduled_ = false;
    fleet_ptr fleet_;
    double retry_burst_;
    std::uint16_t guard_port_ = 0;
    bool addresses_set_ = false;
};

} // namespace bamboohoist

#endif
