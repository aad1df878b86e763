#include "policy/stop_rule.hpp"

#include <cstdio>

namespace bamboohoist {

namespace {

bool names(std::string_view wanted, std::string_view actual)
{
    return wanted.empty() || wanted == actual;
}

} // namespace

const stop_plan* find_stop_plan(std::span<const stop_plan> plans, const target_record& target,
                                std::string_view node, std::int64_t now_ms)
{
    for (const stop_plan& plan : plans)
    {
        const bool begun = plan.from_ms_ == 0 || now_ms >= plan.from_ms_;
        const bool over = plan.until_ms_ != 0 && now_ms >= plan.until_ms_;
        if (begun && !over && names(plan.service_, target.service_) &&
            names(plan.target_, target.id_) && names(plan.node_, node))
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
    double serving = 0.0;
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
            // An earlier target that wishes to stop counts as stopped already.
            const bool goes_first = other.stop_wanted_ && other.id_ < target.id_;
            const bool works = !other.leaving_ && !goes_first && other.weight_ > 0;
            serving += works && other.id_ != target.id_ ? other.slots_ : 0.0;
        }
    }
    const double floor = service.floor_ * total;
    char text[160];
    std::snprintf(text, sizeof text,
                  "%.0f of %.0f slots of %s would serve without it; the floor is %.1f", serving,
                  total, service.name_.c_str(), floor);
    return {serving >= floor, text};
}

} // namespace bamboohoist
