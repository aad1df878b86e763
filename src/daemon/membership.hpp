#ifndef BAMBOOHOIST_DAEMON_MEMBERSHIP_HPP
#define BAMBOOHOIST_DAEMON_MEMBERSHIP_HPP

#include "daemon/control_link.hpp"
#include "daemon/gossip_socket.hpp"
#include "daemon/table_sync.hpp"
#include "loop/timer.hpp"
#include "policy/member_table.hpp"
#include "policy/probe_tracker.hpp"
#include "policy/revision.hpp"
#include "wire/gossip_codec.hpp"

namespace bamboohoist {

/// Receives what membership learns from other nodes.
class membership_listener
{
public:
    virtual ~membership_listener() = default;

    /// The member table has changed.
    virtual void on_members_changed() = 0;

    /// A peer knows this revision, which can be fetched from it.
    virtual void on_peer_revision(std::uint64_t revision, bool accepted,
                                  const endpoint& gossip) = 0;

    /// A node reports that a revision is in force there.
    virtual void on_in_force_report(const domain_member& member, std::uint64_t revision) = 0;

    /// A target of another node, `node`, has crashed; `suspects` are the fingerprints of the
    /// requests that were in flight.
    virtual void on_remote_crash(std::string_view node, std::string_view crash_id,
                                 std::span<const std::uint64_t> suspects) = 0;
};

/// Keeps the member table up to date by gossip with the other nodes: datagrams carry probes and
/// updates, stream calls exchange complete tables.
class membership : public child
{
public:
    membership(const control_context& context, control_link& link, membership_listener& listener);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    const member_table& table() const;

    /// Replaces this node's targets in its own record.
    void update_targets(std::span<const target_record> targets);

    /// Announces to the fleet that this node leaves for good.
    void announce_leave();

    /// Fetches the records that are newer at the node with this gossip address, which need not be
    /// a known member. Does nothing while such exchanges are pending, unless they take long.
    void sync_with(const endpoint& gossip);

    /// The store has listed so many other nodes, and perhaps this one.
    void on_listed(std::size_t others, bool itself);

    /// Among how many nodes to divide what the fleet may spend until it is known; 0 when unknown.
    std::size_t provisional_parts() const;

    /// True from when on this node knows who is in the fleet; it then stays so.
    bool knows_fleet() const;

    /// Sends this node's own record to a gossip address, whose node then knows this one and can
    /// fetch what else it misses.
    void introduce_to(const endpoint& gossip);

    /// Sets the newest known revision, which every message of this node carries.
    void set_revision(std::uint64_t revision, bool accepted);

    /// Reports to the coordinator that a revision is in force on this node.
    void report_in_force(const endpoint& coordinator, std::uint64_t revision);

    /// Sends to the given nodes which requests were in flight when a target crashed.
    void send_crash_report(std::string_view crash_id, std::span<const std::uint64_t> suspects,
                           std::span<const std::string> nodes);

    /// Sends this node's own record to the given nodes without waiting for the next round.
    void send_self_record(std::span<const std::string> nodes);

    /// The gossip address of a member: from the settings where they replace it, otherwise as the
    /// member advertises it.
    endpoint gossip_endpoint(const member_record& member) const;

    /// The address of a member's guard as `address:port`, chosen as for `gossip_endpoint()`.
    std::string guard_address(const member_record& member) const;

    /// Sets the guard's port and with it the addresses that this node advertises. To be called
    /// before `start()`.
    void set_guard_port(std::uint16_t port);

private:
    using handler = void (membership::*)(const gossip_message&, const endpoint&);

    void receive(std::string_view bytes, const endpoint& from);
    void on_ping(const gossip_message& message, const endpoint& from);
    void on_ack(const gossip_message& message, const endpoint& from);
    void on_ping_request(const gossip_message& message, const endpoint& from);
    void on_in_force_report(const gossip_message& message, const endpoint& from);
    void on_remote_crash(const gossip_message& message, const endpoint& from);
    void on_update(const gossip_message& message, const endpoint& from);
    void merge_records(std::span<const member_record> records);
    void run_round();
    /// Until the fleet is known: asks one peer after another for its table.
    void survey_fleet();
    void report_fleet_known();
    void check_probes();
    void request_indirect_probes(const member_probe& probe);
    void contact_dead_member();
    void send(const endpoint& remote, gossip_message message, bool with_updates);
    void ping(const member_record& member);
    void send_update(const member_record& member);
    void probe_next_member();
    void report_changes();
    std::uint64_t fingerprint();

    static const handler handlers[]; ///< By `gossip_kind`.

    const control_context& context_;
    control_link& link_;
    membership_listener& listener_;
    member_table table_;
    gossip_socket socket_;
    table_sync sync_;
    probe_tracker probes_;
    timer round_timer_;
    std::uint64_t rounds_ = 0;
    std::uint64_t revision_ = 0;
    bool accepted_ = false;
    std::uint64_t reported_change_count_ = 0; ///< Of the table at the last `on_members_changed()`.
    std::uint64_t fingerprint_ = 0;
    std::uint64_t fingerprint_change_count_ = ~0ULL; ///< Of the table for which it was computed.
    bool fleet_known_ = false;                       ///< The listener was told.
};

} // namespace bamboohoist

#endif
