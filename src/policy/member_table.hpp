#ifndef BAMBOOHOIST_POLICY_MEMBER_TABLE_HPP
#define BAMBOOHOIST_POLICY_MEMBER_TABLE_HPP

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "policy/member.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// The version of a node's record, for comparing tables without sending the records.
struct member_digest
{
    std::string node_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 0;
    member_state state_ = member_state::alive;
};

/// True when `left` is newer than `right`, a record of the same node, and replaces it.
bool supersedes(const member_record& left, const member_record& right);

/// The records of all members as known to one node, and how often each was sent to others. Does no
/// input or output; the time is passed in.
class member_table
{
public:
    member_table(member_record self, duration suspicion_timeout, duration tombstone_time);

    /// Merges a received record. True when it changed the table. A record that wrongly marks this
    /// node itself as suspect, dead or left is refuted by a higher version.
    bool merge(const member_record& received, instant now);

    /// Changes this node's own record and raises its version.
    void update_self(std::span<const target_record> targets);

    /// Marks this node as having left the fleet.
    void leave_self();

    /// Marks a member as suspect that responded neither to direct nor to indirect probes.
    bool suspect(std::string_view node, instant now);

    /// A message from a member was received. Withdraws a suspicion, but only one that was raised by
    /// this table.
    void confirm_alive(std::string_view node, std::uint64_t incarnation);

    /// Marks members as dead whose suspicion has timed out, and removes old tombstones. Returns the
    /// members that died.
    std::vector<std::string> advance(instant now);

    /// Selects the records that were sent the fewest times, as long as the sum of `cost` stays
    /// within `budget` (at least one record), and counts each as sent once more.
    std::vector<const member_record*> select_updates(std::size_t budget,
                                                     std::size_t (*cost)(const member_record&));
    /// True while there are records that were not sent often enough.
    bool has_pending_updates() const;

    /// A random member to gossip with, mostly of the same failure domain and region. Null when
    /// there is none.
    const member_record* random_peer(random_source& random) const;

    /// Alive and suspect members other than this node, ordered by name.
    std::vector<const member_record*> peers() const;

    const member_record& self() const;
    const member_record* find(std::string_view node) const;

    /// All known records, including that of this node, ordered by name.
    std::vector<const member_record*> all() const;

    std::vector<member_digest> digest() const;

    /// The records that are newer than in the digest of another node, or missing from it.
    std::vector<const member_record*> newer_than(std::span<const member_digest> remote) const;

    /// The dead nodes that may run on, cut off from this one; ordered by name. Nodes that died one
    /// at a time count only for a while, and nodes that died together as long as they are known.
    std::vector<std::string> cut_off_nodes(instant now) const;

    /// Hash of all versions; equal tables have equal hashes.
    std::uint64_t fingerprint() const;

    /// Counts the changes that other nodes need to receive.
    std::uint64_t change_count() const;

private:
    struct entry
    {
        member_record record_;
        instant since_;                ///< Start of the current state.
        std::uint32_t send_count_ = 0; ///< Times sent since the last change.
        bool own_suspicion_ = false;   ///< Suspected by this node, not by a received record.
    };

    void replace(entry& known, const member_record& received, instant now);
    /// The fraction of messages to send out of a failure domain with this number of nodes.
    double cross_domain_fraction(std::size_t domain_size) const;
    /// How often a change is sent before it counts as spread.
    std::uint32_t send_limit() const;

    entry self_;
    std::map<std::string, entry, std::less<>> members_;
    duration suspicion_timeout_;
    duration tombstone_time_;
    std::uint64_t change_count_ = 0;
};

} // namespace bamboohoist

#endif
