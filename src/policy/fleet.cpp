#include "policy/fleet.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr double percent = 100.0;

distance distance_to(const member_record& member, const node_location& place)
{
    if (member.domain_ == place.domain_)
    {
        return distance::same_domain;
    }
    return member.region_ == place.region_ ? distance::same_region : distance::other_region;
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

} // namespace

fleet_ptr build_fleet_snapshot(const ref_ptr<const active_revision>& active,
                               std::span<const member_record* const> members,
                               const node_location& place,
                               const std::function<std::string(const member_record&)>& guard_of,
                               const fleet_snapshot* previous, double retry_burst)
{
    const ref_ptr<fleet_snapshot> built(new fleet_snapshot);
    built->active_ = active;
    built->node_count_ = members.size();
    built->retry_burst_ = retry_burst;
    if (!active)
    {
        return built;
    }
    std::vector<ref_ptr<service_targets>> services;
    for (std::size_t i = 0; i < active->manifest_->services_.size(); ++i)
    {
        services.emplace_back(new service_targets);
    }
    for (const member_record* member : members)
    {
        const std::string guard = guard_of(*member);
        for (const target_record& target : member->targets_)
        {
            if (const auto service = active->routes_.service(target.service_))
            {
                services[*service]->targets_.push_back(
                    fleet_target{target.id_, member->node_, guard, target.slots_, target.leaving_,
                                 target.weight_ / percent, distance_to(*member, place)});
            }
        }
    }
    const bool comparable = previous != nullptr && previous->active_ == active;
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        if (comparable && same_targets(*services[i], *previous->services_[i]))
        {
            built->services_.push_back(previous->services_[i]);
            continue;
        }
        built->services_.emplace_back(services[i]);
    }
    return built;
}

} // namespace bamboohoist
