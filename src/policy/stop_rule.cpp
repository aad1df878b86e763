#include "policy/stop_rule.hpp"

#include "policy/health_weight.hpp"

#include <cstdio>

namespace bamboohoist {

namespace {

bool matches(std::string_view wanted, std::string_view actual)
{
    return wanted.empty() || wanted == actual;
}

} // namespace

const stop_plan* find_stop_plan(std::span<const stop_plan> plans, const target_record& target,
                                std::string_view node, std::int64_t now_ms)
{
    for (const stop_plan& plan : plans)
    {
        const bool started = plan.from_ms_ == 0 || now_ms >= plan.from_ms_;
        const bool ended = plan.until_ms_ != 0 && now_ms >= plan.until_ms_;
        if (started && !ended && matches(plan.service_, target.service_) &&
            matches(plan.target_, target.id_) && matches(plan.node_, node))
        {
            return &plan;
        }
    }
    return nullptr;
}

stop_decision check_stop(const target_record& target, const service_spec& service,
                         std::span<const member_record* const> members)
{
    double total = 0.0;
    double remaining = 0.0;
    for (const member_record* member : members)
    {
        if (member->state_ != member_state::alive)
        {
            continue;
        }
        for (const target_record& other : member->targets_)
        {
            if (other.service_ != target.service_)
            {
                continue;
            }
            total += other.slots_;
            // A target that wants to stop and comes earlier in the order counts as stopped.
            const bool stops_earlier = other.stop_wanted_ && other.id_ < target.id_;
            const bool serves = !other.leaving_ && !stops_earlier &&
                                !is_ejected_weight(other.weight_ / weight_percent);
            remaining += serves && other.id_ != target.id_ ? other.slots_ : 0.0;
        }
    }
    const double floor = service.floor_ * total;
    char text[160];
    std::snprintf(text, sizeof text,
                  "%.0f of %.0f slots of %s would stay in use; the floor is %.1f", remaining, total,
                  service.name_.c_str(), floor);
    return {remaining >= floor, text};
}

} // namespace bamboohoist
