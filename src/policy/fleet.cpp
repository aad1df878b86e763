#include "policy/fleet.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

distance distance_to(const member_record& member, const node_location& location)
{
    if (member.domain_ == location.domain_)
    {
        return distance::same_domain;
    }
    return member.region_ == location.region_ ? distance::same_region : distance::other_region;
}

bool same_target(const fleet_target& left, const fleet_target& right)
{
    return left.id_ == right.id_ && left.node_ == right.node_ &&
           left.guard_address_ == right.guard_address_ && left.slots_ == right.slots_ &&
           left.leaving_ == right.leaving_ && left.weight_ == right.weight_;
}

bool same_targets(const service_targets& left, const service_targets& right)
{
    return std::ranges::equal(left.targets_, right.targets_, same_target);
}

/// The owners of the previous snapshot if they are the same; computing them costs a hash for each
/// node and shard.
ref_ptr<const shard_owners>
find_quota_owners(std::span<const member_record* const> members,
                  const std::function<std::string(const member_record&)>& guard_address_of,
                  const fleet_snapshot* previous)
{
    std::vector<shard_node> nodes;
    for (const member_record* member : members)
    {
        // A node that leaves is still in its own snapshots, but decides about no quotas any more.
        if (member->state_ != member_state::left)
        {
            nodes.push_back({member->node_, guard_address_of(*member)});
        }
    }
    std::ranges::sort(nodes);
    if (previous != nullptr && previous->quota_owners_ &&
        std::ranges::equal(nodes, previous->quota_owners_->nodes()))
    {
        return previous->quota_owners_;
    }
    return ref_ptr<const shard_owners>(new shard_owners(std::move(nodes)));
}

} // namespace

fleet_ptr
build_fleet_snapshot(const ref_ptr<const active_revision>& active,
                     std::span<const member_record* const> members, const node_location& location,
                     const std::function<std::string(const member_record&)>& guard_address_of,
                     const fleet_snapshot* previous, fleet_facts facts)
{
    const ref_ptr<fleet_snapshot> snapshot(new fleet_snapshot);
    snapshot->active_ = active;
    snapshot->known_ = facts.known_;
    snapshot->provisional_parts_ = facts.provisional_parts_;
    snapshot->node_count_ = members.size();
    snapshot->share_count_ = std::max(members.size(), facts.share_count_);
    snapshot->cut_off_nodes_ = std::move(facts.cut_off_nodes_);
    snapshot->quota_owners_ = find_quota_owners(members, guard_address_of, previous);
    snapshot->retry_burst_ = facts.retry_burst_;
    snapshot->known_revision_ = facts.known_revision_;
    if (!active)
    {
        return snapshot;
    }
    std::vector<ref_ptr<service_targets>> services;
    for (std::size_t i = 0; i < active->manifest_->services_.size(); ++i)
    {
        services.emplace_back(new service_targets);
    }
    for (const member_record* member : members)
    {
        const std::string guard_address = guard_address_of(*member);
        for (const target_record& target : member->targets_)
        {
            if (const auto service = active->routes_.find_service(target.service_))
            {
                services[*service]->targets_.push_back(fleet_target{
                    target.id_, member->node_, guard_address, target.slots_, target.leaving_,
                    target.weight_ / weight_percent, distance_to(*member, location)});
            }
        }
    }
    const bool comparable = previous != nullptr && previous->active_ == active;
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        if (comparable && same_targets(*services[i], *previous->services_[i]))
        {
            snapshot->services_.push_back(previous->services_[i]);
            continue;
        }
        snapshot->services_.emplace_back(services[i]);
    }
    return snapshot;
}

} // namespace bamboohoist
