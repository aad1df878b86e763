#ifndef BAMBOOHOIST_POLICY_REVISION_HPP
#define BAMBOOHOIST_POLICY_REVISION_HPP

#include "policy/manifest.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// The newest revision of the configuration, as kept in the store and by the nodes. It refers to
/// the content by its address.
struct revision_head
{
    std::uint64_t revision_ = 0;
    bool accepted_ = false; ///< False while it is only proposed.
    std::string operation_; ///< Identifies the write, in case its reply is lost.
    std::string content_;   ///< Address of the chunk list; empty for no content.
    std::string fallback_;  ///< Address of the last accepted content before this one.
    std::uint64_t fallback_revision_ = 0;
    day_note note_;                   ///< Who applied it and why.
    std::string coordinator_;         ///< `address:port` of the node that collects the reports.
    std::vector<std::string> waived_; ///< Failure domains whose reports the operator waived.
    std::int64_t proposed_ms_ = 0;    ///< Milliseconds since the Unix epoch.
    std::uint64_t withdrawn_ = 0;     ///< The revision that this one withdraws, or 0.

    bool operator==(const revision_head&) const = default;
};

/// True when a node that has `current` must adopt `offered`. Revision numbers only increase, and
/// within a revision the only step is from proposed to accepted.
bool should_adopt(const revision_head& current, const revision_head& offered);

/// The head that withdraws a proposal which did not come into force everywhere.
revision_head make_withdrawal(const revision_head& proposed, std::string_view operation);

/// A node that must have a revision in force before it counts as accepted.
struct domain_member
{
    std::string_view node_;
    std::uint64_t incarnation_ = 0;
    std::string_view domain_;
};

/// Tracks, at the coordinator, which nodes have a proposed revision in force.
class acceptance_tracker
{
public:
    acceptance_tracker(revision_head proposed, std::span<const region_spec> regions);

    /// Records the newest revision that a node has in force.
    void report(const domain_member& member, std::uint64_t revision);

    /// The declared failure domains without any report, or with a present node that has not
    /// reported. When empty, the revision may be accepted.
    std::vector<std::string> missing_domains(std::span<const domain_member> present) const;

    const revision_head& proposed() const;

private:
    revision_head proposed_;
    std::set<std::string, std::less<>> domains_;
    /// A report is valid only for the process that sent it, as a restarted process has no revision.
    struct domain_report
    {
        std::uint64_t incarnation_ = 0;
        std::string domain_;
    };

    std::map<std::string, domain_report, std::less<>> reports_; ///< By node.
};

} // namespace bamboohoist

#endif
