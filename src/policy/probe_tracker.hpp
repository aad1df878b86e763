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

/// A probe of a member that waits for its answer.
struct member_probe
{
    std::uint64_t sequence_ = 0;
    std::string node_;
    instant sent_;
    bool asked_others_ = false;
    std::string requester_; ///< Set when another node asked for the probe.
    std::uint64_t requester_sequence_ = 0;
};

/// What is to be done about probes that wait.
struct probes_due
{
    std::vector<member_probe> probe_indirectly_; ///< To be probed through others as well.
    std::vector<std::string> unresponsive_;      ///< Members that answered neither way.
};

/// The share of its turns in which a member of another failure domain is probed, by a node with so
/// many peers in its own: bytes between domains are dear, and each member is probed from within its
/// own domain, as long as it has neighbours there.
double cross_domain_probe_probability(std::size_t near_peers);

/// Keeps the probes that are out, and the order in which members are probed.
class probe_tracker
{
public:
    probe_tracker(duration indirect_probe_delay, duration timeout);

    /// Numbers a message that expects no answer.
    std::uint64_t next_sequence();

    /// Starts a probe of our own; the sequence number goes into the message.
    std::uint64_t start(std::string_view node, instant now);

    /// Starts a probe for another node, which hears of the answer.
    std::uint64_t start_indirect(std::string_view node, std::string_view asker,
                                 std::uint64_t asker_sequence, instant now);

    /// Takes an answer in; empty for a probe that is not, or no longer, known.
    std::optional<member_probe> answered(std::uint64_t sequence);

    /// Lets time pass. Probes past their time-out are dropped.
    probes_due check_timeouts(instant now);

    /// The member to probe next: each once a turn, every turn in a new random order. Null when
    /// there is none.
    const member_record* choose_next(const member_table& table, random_source& random);

    void clear();

private:
    void shuffle(const member_table& table, random_source& random);

    duration ask_others_after_;
    duration timeout_;
    std::map<std::uint64_t, member_probe> probes_;
    std::deque<std::string> order_; ///< Members that are still to be probed in this turn.
    std::uint64_t next_sequence_ = 1;
};

} // namespace bamboohoist

#endif
