#ifndef BAMBOOHOIST_POLICY_FLEET_HPP
#define BAMBOOHOIST_POLICY_FLEET_HPP

#include "core/ref_counted.hpp"
#include "policy/manifest.hpp"
#include "policy/member.hpp"
#include "policy/route_table.hpp"
#include "policy/target_choice.hpp"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace bamboohoist {

/// A target as an ingress sees it.
struct fleet_target
{
    std::string id_;
    std::string node_;
    std::string
        guard_address_; ///< `address:port` of the guard in front of it, as reached from here.
    std::uint32_t slots_ = 1;
    bool leaving_ = false;
    double weight_ = 1.0;
    distance distance_ = distance::same_domain;
};

/// A revision in force: the manifest and what is built from it once.
struct active_revision : ref_counted<active_revision>
{
    active_revision(std::uint64_t revision, ref_ptr<const manifest> content)
        : revision_(revision), manifest_(std::move(content)), routes_(*manifest_)
    {
    }

    std::uint64_t revision_;
    ref_ptr<const manifest> manifest_;
    route_table routes_;
};

/// The targets of one service.
struct service_targets : ref_counted<service_targets>
{
    std::vector<fleet_target> targets_;
};

/// What control publishes to the traffic threads. Immutable.
struct fleet_snapshot : ref_counted<fleet_snapshot>
{
    std::size_t node_count_ = 0; ///< Present ones, this one included.
    double retry_burst_ = 0.0;   ///< Of the whole fleet, beyond the shares of the services.
    ref_ptr<const active_revision> active_;                ///< Null while no revision is known.
    std::vector<ref_ptr<const service_targets>> services_; ///< By index in the manifest.
};

using fleet_ptr = ref_ptr<const fleet_snapshot>;

/// Where this node stands, to tell near from far.
struct node_location
{
    std::string_view node_;
    std::string_view region_;
    std::string_view domain_;
};

/// Gathers the targets of every service from the members. Services whose targets are unchanged
/// are shared with the previous snapshot. `guard_of` says how a member's guard is reached.
fleet_ptr build_fleet_snapshot(const ref_ptr<const active_revision>& active,
                               std::span<const member_record* const> members,
                               const node_location& place,
                               const std::function<std::string(const member_record&)>& guard_of,
                               const fleet_snapshot* previous, double retry_burst = 0.0);

} // namespace bamboohoist

#endif
