#ifndef BAMBOOHOIST_DAEMON_MEMBERSHIP_HPP
#define BAMBOOHOIST_DAEMON_MEMBERSHIP_HPP

#include "daemon/control_link.hpp"
#include "daemon/gossip_socket.hpp"
#include "loop/timer.hpp"
#include "policy/member_table.hpp"
#include "policy/probe_tracker.hpp"
#include "policy/revision.hpp"
#include "wire/gossip_codec.hpp"

namespace bamboohoist {

/// What membership tells the rest of control.
class membership_listener
{
public:
    virtual ~membership_listener() = default;

    /// The table has changed.
    virtual void on_members_changed() = 0;

    /// A peer knows this revision; it can be fetched there.
    virtual void on_revision_heard(std::uint64_t revision, bool accepted,
                                   const endpoint& gossip) = 0;

    /// A node reports a revision in force.
    virtual void on_in_force(const domain_member& member, std::uint64_t revision) = 0;

    /// Requests that were in hand when a target died elsewhere.
    virtual void on_blame(std::string_view target, std::span<const std::uint64_t> blamed) = 0;
};

/// Gossip with the other nodes: datagrams for probes and rumours, streams for whole tables.
class membership : public child
{
public:
    membership(const control_context& context, control_link& link, membership_listener& listener);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    const member_table& table() const;

    /// Changes this node's own targets.
    void update_targets(std::span<const target_record> targets);

    /// Tells the fleet that this node leaves for good.
    void announce_leave();

    /// Learns the whole table of the node at an address, which need not be known yet.
    void sync_with(const endpoint& gossip);

    /// What this node says about the configuration from now on.
    void set_revision(std::uint64_t revision, bool accepted);

    void report_in_force(const endpoint& coordinator, std::uint64_t revision);

    /// Tells the given nodes, at once, which requests were in hand when a target died.
    void spread_blame(std::string_view target, std::span<const std::uint64_t> blamed,
                      std::span<const std::string> nodes);

    /// Tells these nodes of the newest changes at once.
    void notify(std::span<const std::string> nodes);

    /// How the gossip address of a member is reached from here.
    endpoint gossip_endpoint(const member_record& member) const;

    /// How the guard of a member is reached from here, as `address:port`.
    std::string guard_address(const member_record& member) const;

    /// Sets the address under which other nodes reach this one's guard. Before `start()`.
    void set_guard_port(std::uint16_t port);

private:
    using handler = void (membership::*)(const gossip_message&, const endpoint&);

    void receive(std::string_view bytes, const endpoint& from);
    void on_ping(const gossip_message& message, const endpoint& from);
    void on_ack(const gossip_message& message, const endpoint& from);
    void on_ping_request(const gossip_message& message, const endpoint& from);
    void on_in_force(const gossip_message& message, const endpoint& from);
    void on_blame(const gossip_message& message, const endpoint& from);
    void on_news(const gossip_message& message, const endpoint& from);
    void merge_records(std::span<const member_record> records);
    void round();
    void check_probes();
    void ask_others(const member_probe& probe);
    void touch_the_dead();
    void compare_tables(const gossip_message& message, const endpoint& from);
    void send(const endpoint& remote, gossip_message message, bool with_rumours);
    void ping(const member_record& member);
    void send_update(const member_record& member);
    void probe_one();
    void note_changes();
    std::uint64_t fingerprint();
    std::optional<std::string> answer_sync(std::string_view body);

    static const handler handlers[];

    const control_context& context_;
    control_link& link_;
    membership_listener& listener_;
    member_table table_;
    gossip_socket socket_;
    probe_tracker probes_;
    timer round_timer_;
    std::uint64_t rounds_ = 0;
    std::uint64_t revision_ = 0;
    bool accepted_ = false;
    std::uint64_t seen_changes_ = 0;
    std::uint64_t fingerprint_ = 0;
    std::uint64_t fingerprint_changes_ = ~0ULL;
    instant last_sync_;
    bool syncing_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
