#ifndef BAMBOOHOIST_DAEMON_CONTROL_HPP
#define BAMBOOHOIST_DAEMON_CONTROL_HPP

#include "daemon/announce_api.hpp"
#include "daemon/apply_coordinator.hpp"
#include "daemon/configuration.hpp"
#include "daemon/directory.hpp"
#include "daemon/guard.hpp"
#include "daemon/membership.hpp"
#include "daemon/memory_monitor.hpp"
#include "daemon/operators_api.hpp"
#include "daemon/ready_api.hpp"
#include "daemon/recovery.hpp"
#include "daemon/stop_plan_executor.hpp"
#include "daemon/target_registry.hpp"
#include "daemon/timeline_collector.hpp"
#include "policy/share_count.hpp"

namespace bamboohoist {

/// Passes state from control to the traffic threads. Calls return without waiting for them.
class traffic_interface
{
public:
    virtual ~traffic_interface() = default;

    /// Posts a snapshot to every traffic thread; `on_fleet_set` runs on the control thread once all
    /// of them use it.
    virtual void publish(fleet_ptr fleet, std::function<void()> on_fleet_set) = 0;

    virtual void set_local_targets(std::vector<local_target> targets) = 0;

    /// Reports to the guard which requests were in flight when a target of another node crashed.
    virtual void record_remote_crash(std::string crash_id, std::vector<std::uint64_t> suspects) = 0;

    /// Reports to the guard that an operator released a quarantined request.
    virtual void release(std::uint64_t fingerprint) = 0;
};

/// Supervises everything that runs on the control thread and connects its components.
class control : public supervisor,
                private membership_listener,
                private configuration_listener,
                private recovery_listener,
                private store_listener
{
public:
    control(const control_context& context, traffic_interface& traffic);
    ~control() override;

    /// Sets the port on which peers reach this node's guard. To be called before `start()`.
    void set_guard_port(std::uint16_t port);

    /// Applies the changed settings that can change while running.
    void reload(const settings& changed, std::string_view cause);

    /// Stops sending new requests to this node's targets and announces that the node leaves.
    void leave();

    /// Reports of the guard about a target.
    void on_health_changed(const target_health_change& change);
    void on_crash(const target_crash& crash);

    std::uint16_t operators_port() const;
    std::uint16_t announce_port() const;
    std::uint16_t gossip_port() const;
    std::uint16_t ready_port() const;

private:
    /// Passes the guard's port to membership. Started after the link, whose bound port membership
    /// needs as well.
    class address_setup : public child
    {
    public:
        explicit address_setup(control& owner);
        std::string_view name() const override;
        bool start() override;
        void stop() override;

    private:
        control& owner_;
    };

    void on_members_changed() override;
    void on_peer_revision(std::uint64_t revision, bool accepted, const endpoint& gossip) override;
    void on_in_force_report(const domain_member& member, std::uint64_t revision) override;
    void on_remote_crash(std::string_view node, std::string_view crash_id,
                         std::span<const std::uint64_t> suspects) override;
    void on_revision_adopted(const ref_ptr<const active_revision>& active) override;
    void on_revision_known(std::uint64_t revision) override;
    void on_store_regained() override;
    void on_writes_lost(const store_era_change& change) override;
    void on_head_changed(const revision_head& head) override;
    void on_departure_recovered(const recovery_note& departure) override;
    void on_crash_recovered(std::string_view crash_id,
                            std::span<const std::uint64_t> suspects) override;
    void on_release_recovered(std::uint64_t fingerprint) override;
    void on_recovered() override;
    void on_targets_changed();
    /// Publishes what has changed by nothing but time.
    void check_aged_facts();
    void schedule_publish();
    void publish();
    void report_in_force();
    /// True when no alive node of the same failure domain has a lower name.
    bool leads_domain() const;
    /// The number of nodes of this failure domain that watch the configuration in the store.
    std::size_t count_watchers() const;

    const control_context& context_;
    traffic_interface& traffic_;
    std::unique_ptr<store_client> store_;
    control_link link_;
    membership members_;
    configuration config_;
    directory directory_;
    recovery recovery_;
    target_registry targets_;
    apply_coordinator coordinator_;
    stop_plan_executor stop_executor_;
    timeline_collector timeline_collector_;
    quarantine_releaser releaser_;
    operators_api operators_;
    announce_api announce_;
    ready_api ready_;
    memory_monitor memory_monitor_;
    address_setup address_setup_;
    timer publish_timer_;
    timer report_timer_;
    timer aged_facts_timer_;
    share_count shares_;
    bool publish_scheduled_ = false;
    fleet_ptr fleet_;
    std::uint64_t known_revision_ = 0; ///< The newest that the store or a peer has named.
    double retry_burst_;
    std::uint16_t guard_port_ = 0;
    bool addresses_set_ = false;
};

} // namespace bamboohoist

#endif
