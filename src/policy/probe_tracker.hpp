#ifndef BAMBOOHOIST_POLICY_PROBE_TRACKER_HPP
#define BAMBOOHOIST_POLICY_PROBE_TRACKER_HPP

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "policy/member_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// A probe of a member that awaits its reply.
struct member_probe
{
    std::uint64_t sequence_ = 0;
    std::string node_;
    instant sent_;
    bool indirect_requested_ = false;
    std::string requester_; ///< The node that requested the probe; empty for this node's own.
    std::uint64_t requester_sequence_ = 0;
};

/// Pending probes that need an action.
struct probes_due
{
    std::vector<member_probe> probe_indirectly_; ///< To be probed through other nodes as well.
    std::vector<std::string> unresponsive_;      ///< Members without a direct or indirect reply.
};

/// The probability with which a node that has this number of peers in its own failure domain probes
/// a member of another domain when its turn comes. Traffic between domains is expensive, and a
/// member is probed from within its own domain as long as it has peers there.
double cross_domain_probe_probability(std::size_t domain_peers);

/// Tracks pending probes and the order in which members are probed, as in SWIM.
class probe_tracker
{
public:
    probe_tracker(duration indirect_probe_delay, duration timeout);

    /// The sequence number for a message that expects no reply.
    std::uint64_t next_sequence();

    /// Starts a direct probe and returns the sequence number for its message.
    std::uint64_t start_direct(std::string_view node, instant now);

    /// Starts a probe on behalf of another node, to which the reply is relayed.
    std::uint64_t start_indirect(std::string_view node, std::string_view requester,
                                 std::uint64_t requester_sequence, instant now);

    /// Ends and returns the probe that a reply of the node `from` belongs to; empty when it is
    /// unknown or timed out. Only the probed member's own reply counts, and for this node's own
    /// probes also that of a node that was asked to probe the member.
    std::optional<member_probe> complete_probe(std::uint64_t sequence, std::string_view from);

    /// Returns the probes that need an action now, and drops those that have timed out.
    probes_due check_timeouts(instant now);

    /// The member to probe next. Each member is chosen once per round, every round in a new random
    /// order. Null when there is none.
    const member_record* choose_next(const member_table& table, random_source& random);

    void clear();

private:
    void shuffle_members(const member_table& table, random_source& random);

    duration indirect_probe_delay_;
    duration timeout_;
    std::map<std::uint64_t, member_probe> probes_;
    std::deque<std::string> probe_order_; ///< Members still to be probed in this round.
    std::uint64_t next_sequence_ = 1;
};

} // namespace bamboohoist

#endif
