#include "policy/queue_displacement.hpp"

#include <array>

namespace bamboohoist {

namespace {

using queue_view = std::span<const queued_request>;
using displacement_rule = std::optional<std::size_t> (*)(const queued_request& added,
                                                         queue_view queue,
                                                         const admission_order& order);

std::optional<std::size_t> find_largest_part(const queued_request& added, queue_view queue,
                                             const admission_order& /*order*/)
{
    std::unordered_map<std::uint64_t, double> parts;
    for (const queued_request& entry : queue)
    {
        if (entry.rank_ == added.rank_)
        {
            parts[entry.organisation_] += fair_share::weighted_slot(entry.share_);
        }
    }
    const auto largest =
        std::ranges::max_element(parts, {}, [](const auto& pair) { return pair.second; });
    const auto own = parts.find(added.organisation_);
    const double own_part =
        (own == parts.end() ? 0.0 : own->second) + fair_share::weighted_slot(added.share_);
    if (largest == parts.end() || largest->first == added.organisation_ ||
        largest->second <= own_part)
    {
        return std::nullopt;
    }
    for (std::size_t i = queue.size(); i > 0; --i)
    {
        if (queue[i - 1].rank_ == added.rank_ && queue[i - 1].organisation_ == largest->first)
        {
            return i - 1;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> find_later_deadline(const queued_request& added, queue_view queue,
                                               const admission_order& /*order*/)
{
    std::optional<std::size_t> latest;
    for (std::size_t i = 0; i < queue.size(); ++i)
    {
        const bool later = !latest || queue[i].deadline_ > queue[*latest].deadline_;
        latest = queue[i].rank_ == added.rank_ && later ? i : latest;
    }
    const bool displaceable = latest && queue[*latest].organisation_ == added.organisation_ &&
                              queue[*latest].deadline_ > added.deadline_;
    return displaceable ? latest : std::nullopt;
}

constexpr std::array<displacement_rule, 3> rules{find_lower_rank, find_largest_part,
                                                 find_later_deadline};

} // namespace

std::optional<displacement> find_displacement(const queued_request& added, queue_view queue,
                                              const admission_order& order)
{
    for (const displacement_rule rule : rules)
    {
        if (const auto victim = rule(added, queue, order))
        {
            return displacement{*victim, queue[*victim].rank_ != added.rank_};
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> find_lower_rank(const queued_request& added, queue_view queue,
                                           const admission_order& order)
{
    const std::vector<bool> owed = order.owed(queue);
    const bool added_owed = order.is_owed(added, queue);
    std::optional<std::size_t> victim;
    for (std::size_t i = 0; i < queue.size(); ++i)
    {
        const bool displaceable = !owed[i] && queue[i].rank_ != added.rank_ &&
                                  (added_owed || added.rank_ < queue[i].rank_);
        if (displaceable && (!victim || queue[i].rank_ >= queue[*victim].rank_))
        {
            victim = i;
        }
    }
    return victim;
}

} // namespace bamboohoist
