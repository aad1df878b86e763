#include "policy/probe_tracker.hpp"

namespace bamboohoist {

namespace {

bool may_reply(const member_probe& probe, std::string_view from)
{
    const bool relayed = probe.requester_.empty() && probe.indirect_requested_;
    return probe.node_ == from || relayed;
}

} // namespace

double cross_domain_probe_probability(std::size_t domain_peers)
{
    return 1.0 / (1.0 + static_cast<double>(domain_peers));
}

probe_tracker::probe_tracker(duration indirect_probe_delay, duration timeout)
    : indirect_probe_delay_(indirect_probe_delay), timeout_(timeout)
{
}

std::uint64_t probe_tracker::next_sequence()
{
    return next_sequence_++;
}

std::uint64_t probe_tracker::start_direct(std::string_view node, instant now)
{
    const std::uint64_t sequence = next_sequence();
    probes_.emplace(sequence, member_probe{sequence, std::string(node), now, false, "", 0});
    return sequence;
}

std::uint64_t probe_tracker::start_indirect(std::string_view node, std::string_view requester,
                                            std::uint64_t requester_sequence, instant now)
{
    const std::uint64_t sequence = next_sequence();
    probes_.emplace(sequence, member_probe{sequence, std::string(node), now, true,
                                           std::string(requester), requester_sequence});
    return sequence;
}

std::optional<member_probe> probe_tracker::complete_probe(std::uint64_t sequence,
                                                          std::string_view from)
{
    const auto found = probes_.find(sequence);
    if (found == probes_.end() || !may_reply(found->second, from))
    {
        return std::nullopt;
    }
    member_probe probe = std::move(found->second);
    probes_.erase(found);
    return probe;
}

probes_due probe_tracker::check_timeouts(instant now)
{
    probes_due due;
    for (auto at = probes_.begin(); at != probes_.end();)
    {
        member_probe& probe = at->second;
        const duration waited = now - probe.sent_;
        if (waited >= timeout_)
        {
            if (probe.requester_.empty())
            {
                due.unresponsive_.push_back(probe.node_);
            }
            at = probes_.erase(at);
            continue;
        }
        if (waited >= indirect_probe_delay_ && !probe.indirect_requested_)
        {
            probe.indirect_requested_ = true;
            due.probe_indirectly_.push_back(probe);
        }
        ++at;
    }
    return due;
}

const member_record* probe_tracker::choose_next(const member_table& table, random_source& random)
{
    if (probe_order_.empty())
    {
        shuffle_members(table, random);
    }
    while (!probe_order_.empty())
    {
        const member_record* member = table.find(probe_order_.front());
        probe_order_.pop_front();
        if (member != nullptr && member->state_ <= member_state::suspect)
        {
            return member;
        }
    }
    return nullptr;
}

void probe_tracker::clear()
{
    probes_.clear();
}

void probe_tracker::shuffle_members(const member_table& table, random_source& random)
{
    for (const member_record* peer : table.peers())
    {
        const auto at = random.index(probe_order_.size() + 1);
        probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(at), peer->node_);
    }
}

} // namespace bamboohoist
