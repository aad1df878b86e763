#ifndef BAMBOOHOIST_POLICY_STOP_RULE_HPP
#define BAMBOOHOIST_POLICY_STOP_RULE_HPP

#include "policy/manifest.hpp"
#include "policy/member.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohoist {

/// The stop plan of the manifest that applies to a target now; null when there is none.
const stop_plan* find_stop_plan(std::span<const stop_plan> plans, const target_record& target,
                                std::string_view node, std::int64_t now_ms);

/// Whether a target may stop now without taking its service below the floor.
struct stop_decision
{
    bool allowed_ = false;
    std::string reason_; ///< The capacity figures, as text for operators.
};

/// Decides whether one of this node's targets may stop. Targets of a service that want to stop do
/// so in the order of their identifiers, so that nodes which decide at the same time do not stop
/// too many together.
stop_decision check_stop(const target_record& target, const service_spec& service,
                         std::span<const member_record* const> members);

} // namespace bamboohoist

#endif
