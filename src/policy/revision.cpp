#include "policy/revision.hpp"

#include <algorithm>

namespace bamboohoist {

bool should_adopt(const revision_head& held, const revision_head& offered)
{
    if (offered.revision_ != held.revision_)
    {
        return offered.revision_ > held.revision_;
    }
    return offered.accepted_ && !held.accepted_ && offered.operation_ == held.operation_;
}

revision_head make_withdrawal(const revision_head& proposed, std::string_view operation)
{
    revision_head undone = proposed;
    undone.revision_ = proposed.revision_ + 1;
    undone.accepted_ = true;
    undone.operation_ = std::string(operation);
    undone.content_ = proposed.fallback_;
    undone.withdrawn_ = proposed.revision_;
    undone.waived_.clear();
    return undone;
}

acceptance_tracker::acceptance_tracker(revision_head proposed, std::span<const region_spec> regions)
    : proposed_(std::move(proposed))
{
    for (const region_spec& region : regions)
    {
        domains_.insert(region.domains_.begin(), region.domains_.end());
    }
    for (const std::string& waived : proposed_.waived_)
    {
        domains_.erase(waived);
    }
}

void acceptance_tracker::report(const domain_member& member, std::uint64_t revision)
{
    if (revision >= proposed_.revision_)
    {
        reported_.insert_or_assign(std::string(member.node_),
                                   reporter{member.incarnation_, std::string(member.domain_)});
    }
}

std::vector<std::string>
acceptance_tracker::missing_domains(std::span<const domain_member> present) const
{
    std::set<std::string, std::less<>> absent = domains_;
    for (const auto& [node, report] : reported_)
    {
        absent.erase(report.domain_);
    }
    for (const domain_member& member : present)
    {
        const bool counts = domains_.contains(member.domain_);
        const auto found = reported_.find(member.node_);
        const bool reported =
            found != reported_.end() && found->second.incarnation_ == member.incarnation_;
        if (counts && !reported)
        {
            absent.emplace(member.domain_);
        }
    }
    return {absent.begin(), absent.end()};
}

const revision_head& acceptance_tracker::proposed() const
{
    return proposed_;
}

} // namespace bamboohoist
