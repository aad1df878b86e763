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

/// A node's version, small enough to compare whole tables.
struct member_digest
{
    std::string node_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 0;
    member_state state_ = member_state::alive;
};

/// True when what `left` says replaces what `right` says about the same node.
bool supersedes(const member_record& left, const member_record& right);

/// One node's knowledge of all members, and which of it is still worth telling others. It knows
/// no sockets; time is passed in.
class member_table
{
public:
    member_table(member_record self, duration suspicion_timeout, duration tombstone_time);

    /// Takes a record in. True when it changed the table. A claim that this node itself is ill
    /// is refuted by a higher version.
    bool merge(const member_record& heard, instant now);

    /// Changes this node's own record and raises its version.
    void update_self(std::span<const target_record> targets);
    void leave_self();

    /// Marks a member that did not answer, directly or through others.
    bool suspect(std::string_view node, instant now);

    /// A suspect member that answered after all: withdraws this table's own suspicion only.
    void confirm_alive(std::string_view node, std::uint64_t incarnation);

    /// Suspicions that have run out become deaths; old tombstones go. Returns the newly dead.
    std::vector<std::string> advance(instant now);

    /// Up to `count` records that were told to others the fewest times, chosen so that the sum
    /// of `cost` stays within `budget`. Each is counted as told once more.
    std::vector<const member_record*> select_updates(std::size_t budget,
                                                     std::size_t (*cost)(const member_record&));
    bool has_pending_updates() const;

    /// A member to talk to: mostly of the own region. Empty when there is none.
    const member_record* random_peer(random_source& random) const;

    /// Alive or suspect members other than this node, in the order of their names.
    std::vector<const member_record*> peers() const;

    const member_record& self() const;
    const member_record* find(std::string_view node) const;

    /// All known records, this node's included, in the order of their names.
    std::vector<const member_record*> all() const;

    std::vector<member_digest> digest() const;

    /// Records that are newer here than in the digest, or absent from it.
    std::vector<const member_record*> newer_than(std::span<const member_digest> theirs) const;

    /// Hash of all versions; equal tables have equal hashes.
    std::uint64_t fingerprint() const;

    /// Rises with every change that others have to see.
    std::uint64_t change_count() const;

private:
    struct entry
    {
        member_record record_;
        instant since_;          ///< Of the present state.
        std::uint32_t told_ = 0; ///< Times passed on since the last change.
        bool own_suspicion_ = false;
    };

    void replace(entry& known, const member_record& heard, instant now);
    /// The share of messages that leave a failure domain in which so many nodes tell changes.
    double far_share(std::size_t here) const;
    std::uint32_t tell_limit() const;

    entry self_;
    std::map<std::string, entry, std::less<>> members_;
    duration suspicion_timeout_;
    duration tombstone_time_;
    std::uint64_t changes_ = 0;
};

} // namespace bamboohoist

#endif
