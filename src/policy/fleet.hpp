#ifndef BAMBOOHOIST_POLICY_FLEET_HPP
#define BAMBOOHOIST_POLICY_FLEET_HPP

#include "core/ref_counted.hpp"
#include "policy/key_table.hpp"
#include "policy/manifest.hpp"
#include "policy/member.hpp"
#include "policy/route_table.hpp"
#include "policy/shard_owners.hpp"
#include "policy/target_choice.hpp"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace bamboohoist {

/// A target as an ingress knows it from the member records.
struct fleet_target
{
    std::string id_;
    std::string node_;
    std::string guard_address_; ///< `address:port` of its guard, as reached from this node.
    std::uint32_t slots_ = 1;
    bool leaving_ = false;
    double weight_ = 1.0;
    distance distance_ = distance::same_domain;
};

/// A revision in force: its manifest and the tables that are built from it once.
struct active_revision : ref_counted<active_revision>
{
    active_revision(std::uint64_t revision, ref_ptr<const manifest> content)
        : revision_(revision), manifest_(std::move(content)), routes_(*manifest_),
          keys_(manifest_->organisations_)
    {
    }

    std::uint64_t revision_;
    ref_ptr<const manifest> manifest_;
    route_table routes_;
    key_table keys_;
};

/// The targets of one service.
struct service_targets : ref_counted<service_targets>
{
    std::vector<fleet_target> targets_;
};

/// The state that the control thread publishes to the traffic threads. Immutable.
struct fleet_snapshot : ref_counted<fleet_snapshot>
{
    bool known_ = false;                ///< This node knows who else is in the fleet.
    std::size_t node_count_ = 0;        ///< Present nodes, this one included.
    std::size_t share_count_ = 1;       ///< Parts into which what the fleet may spend is divided.
    std::size_t provisional_parts_ = 0; ///< The same until the fleet is known; 0 when unknown.
    std::vector<std::string> cut_off_nodes_;   ///< Dead nodes that may run on, ordered by name.
    ref_ptr<const shard_owners> quota_owners_; ///< Among the present nodes.
    double retry_burst_ = 0.0; ///< Retries of the entire fleet beyond the services' budgets.
    ref_ptr<const active_revision> active_; ///< Null while no revision is known.
    /// The newest revision of which this node knows, in force here or not.
    std::uint64_t known_revision_ = 0;
    std::vector<ref_ptr<const service_targets>> services_; ///< By index in the manifest.
};

using fleet_ptr = ref_ptr<const fleet_snapshot>;

/// The region and failure domain of this node, from which distances to targets are derived.
struct node_location
{
    std::string_view node_;
    std::string_view region_;
    std::string_view domain_;
};

/// What the control thread knows about the fleet besides revision and members.
struct fleet_facts
{
    double retry_burst_ = 0.0;
    std::uint64_t known_revision_ = 0;
    std::vector<std::string> cut_off_nodes_ = {};
    bool known_ = true;           ///< This node knows who else is in the fleet.
    std::size_t share_count_ = 1; ///< See `share_count`.
    std::size_t provisional_parts_ = 0;
};

/// Collects the targets of every service from the member records. Services whose targets did not
/// change are shared with the previous snapshot. `guard_address_of` returns the address under which
/// the guard of a member is reached.
fleet_ptr
build_fleet_snapshot(const ref_ptr<const active_revision>& active,
                     std::span<const member_record* const> members, const node_location& location,
                     const std::function<std::string(const member_record&)>& guard_address_of,
                     const fleet_snapshot* previous, fleet_facts facts = {});

} // namespace bamboohoist

#endif
