#include "policy/revision.hpp"

#include <algorithm>

namespace bamboohoist {

bool should_adopt(const revision_head& current, const revision_head& offered)
{
    if (offered.revision_ != current.revision_)
    {
        return offered.revision_ > current.revision_;
    }
    return offered.accepted_ && !current.accepted_ && offered.operation_ == current.operation_;
}

revision_head make_withdrawal(const revision_head& proposed, std::string_view operation)
{
    revision_head withdrawal = proposed;
    withdrawal.revision_ = proposed.revision_ + 1;
    withdrawal.accepted_ = true;
    withdrawal.operation_ = std::string(operation);
    withdrawal.content_ = proposed.fallback_;
    withdrawal.withdrawn_ = proposed.revision_;
    withdrawal.waived_.clear();
    return withdrawal;
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
        reports_.insert_or_assign(std::string(member.node_),
                                  domain_report{member.incarnation_, std::string(member.domain_)});
    }
}

std::vector<std::string>
acceptance_tracker::missing_domains(std::span<const domain_member> present) const
{
    std::set<std::string, std::less<>> missing = domains_;
    for (const auto& [node, report] : reports_)
    {
        missing.erase(report.domain_);
    }
    for (const domain_member& member : present)
    {
        const bool counts = domains_.contains(member.domain_);
        const auto found = reports_.find(member.node_);
        const bool reported =
            found != reports_.end() && found->second.incarnation_ == member.incarnation_;
        if (counts && !reported)
        {
            missing.emplace(member.domain_);
        }
    }
    return {missing.begin(), missing.end()};
}

const revision_head& acceptance_tracker::proposed() const
{
    return proposed_;
}

} // namespace bamboohoist
