#include "policy/target_choice.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>

namespace bamboohoist {

namespace {

/// Below this weight a target counts as ejected.
constexpr double ejected_below = 0.02;
/// The weight of a target that only the floor keeps in use.
constexpr double floor_weight = 0.25;
/// When at least this share of the capacity looks ill, the measure is ill.
constexpr double implausible_share = 0.75;
/// A distance is passed over when its chosen target has more requests than this per slot.
constexpr double spill_load = 1.0;
/// Going to the other region must promise a much emptier target.
constexpr double region_spill_load = 2.0;
/// The share of choices that take a single draw. Without them a target that once looked slow gets
/// no more work, so that nobody would learn whether it is ill or well again.
constexpr double trial_share = 0.15;
/// A weight that came with an answer is believed for this long.
constexpr duration fresh_weight_time = std::chrono::seconds(2);

double relative_load(const candidate& target)
{
    return target.load_ / std::max(1U, target.slots_);
}

double score(const candidate& target, double weight)
{
    return (relative_load(target) + 1.0 / target.slots_) * (target.latency_ms_ + 0.1) / weight;
}

std::optional<std::size_t> draw(std::span<const std::size_t> members,
                                std::span<const double> weights, double total,
                                random_source& random)
{
    double at = random.uniform() * total;
    for (const std::size_t member : members)
    {
        at -= weights[member];
        if (at < 0.0)
        {
            return member;
        }
    }
    return members.empty() ? std::nullopt : std::optional(members.back());
}

std::optional<std::size_t> better_of_two(std::span<const candidate> candidates,
                                         std::span<const std::size_t> members,
                                         std::span<const double> weights, random_source& random)
{
    double total = 0.0;
    for (const std::size_t member : members)
    {
        total += weights[member];
    }
    const auto first = draw(members, weights, total, random);
    if (!first || random.chance(trial_share))
    {
        return first;
    }
    const auto second = draw(members, weights, total, random);
    const double first_score = score(candidates[*first], weights[*first]);
    const double second_score = score(candidates[*second], weights[*second]);
    return first_score <= second_score ? first : second;
}

bool is_ejected(const candidate& target)
{
    return target.weight_ < ejected_below;
}

/// True when so much of the capacity looks ill that the measure is ill.
bool is_implausible(double healthy, double total)
{
    return healthy <= total * (1.0 - implausible_share);
}

double healthy_slots(std::span<const candidate> candidates)
{
    double healthy = 0.0;
    for (const candidate& target : candidates)
    {
        healthy += is_ejected(target) ? 0.0 : target.slots_;
    }
    return healthy;
}

double all_slots(std::span<const candidate> candidates)
{
    double total = 0.0;
    for (const candidate& target : candidates)
    {
        total += target.slots_;
    }
    return total;
}

/// An ejected target of the own failure domain that this node has not tried lately.
std::optional<std::size_t> due_for_trial(std::span<const candidate> candidates)
{
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const candidate& target = candidates[i];
        if (is_ejected(target) && target.usable_ && target.trial_due_ &&
            target.distance_ == distance::same_domain)
        {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace

bool can_hedge(const candidate& second)
{
    return !is_ejected(second) && relative_load(second) < spill_load;
}

void replace_stale_loads(std::span<candidate> candidates)
{
    double sum = 0.0;
    double fresh = 0.0;
    for (const candidate& target : candidates)
    {
        sum += target.load_fresh_ ? relative_load(target) : 0.0;
        fresh += target.load_fresh_ ? 1.0 : 0.0;
    }
    const double mean = fresh > 0.0 ? sum / fresh : 0.0;
    for (candidate& target : candidates)
    {
        const double assumed = mean * std::max(1U, target.slots_);
        target.load_ = target.load_fresh_ ? target.load_ : std::max(target.load_, assumed);
    }
}

double effective_weight(double announced, double reported, duration report_age)
{
    const bool ejected = announced < ejected_below;
    return !ejected && report_age < fresh_weight_time ? reported : announced;
}

bool apply_floor(std::span<const candidate> candidates, double floor, std::vector<double>& weights)
{
    weights.clear();
    std::ranges::transform(candidates, std::back_inserter(weights), &candidate::weight_);
    const double total = all_slots(candidates);
    double healthy = healthy_slots(candidates);
    if (healthy >= total)
    {
        return false;
    }
    if (is_implausible(healthy, total))
    {
        std::ranges::fill(weights, 1.0);
        return true;
    }
    std::vector<std::size_t> ejected;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (weights[i] < ejected_below)
        {
            ejected.push_back(i);
        }
    }
    std::ranges::stable_sort(ejected, std::greater(),
                             [&](std::size_t i) { return candidates[i].weight_; });
    bool raised = false;
    for (const std::size_t i : ejected)
    {
        if (healthy >= total * floor)
        {
            break;
        }
        weights[i] = floor_weight;
        healthy += candidates[i].slots_;
        raised = true;
    }
    return raised;
}

std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_limits& limits, random_source& random)
{
    const bool implausible = is_implausible(healthy_slots(candidates), all_slots(candidates));
    const bool trials = limits.trials_allowed_ && !implausible;
    if (limits.last_attempt_)
    {
        choice_limits without_floor = limits;
        without_floor.floor_ = 0.0;
        without_floor.last_attempt_ = false;
        without_floor.trials_allowed_ = false;
        const auto healthy = choose_target(candidates, without_floor, random);
        if (healthy && relative_load(candidates[healthy->index_]) < spill_load)
        {
            return healthy;
        }
    }
    else if (const auto due = trials ? due_for_trial(candidates) : std::nullopt)
    {
        return target_choice{*due, false, false, true};
    }
    std::vector<double> weights;
    const bool floor_held = apply_floor(candidates, limits.floor_, weights);
    std::array<std::vector<std::size_t>, 3> by_distance;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (candidates[i].usable_ && weights[i] > 0.0)
        {
            by_distance[static_cast<std::size_t>(candidates[i].distance_)].push_back(i);
        }
    }
    if (!limits.other_region_allowed_)
    {
        by_distance[static_cast<std::size_t>(distance::other_region)].clear();
    }
    std::optional<std::size_t> best;
    for (const auto& members : by_distance)
    {
        const auto found = better_of_two(candidates, members, weights, random);
        if (!found)
        {
            continue;
        }
        if (!best || relative_load(candidates[*found]) < relative_load(candidates[*best]) / 2.0)
        {
            best = found;
        }
        const bool next_is_region = &members == &by_distance[1];
        if (relative_load(candidates[*best]) < (next_is_region ? region_spill_load : spill_load))
        {
            break;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    const bool ejected = is_ejected(candidates[*best]);
    return target_choice{*best, floor_held, ejected && !trials, ejected && trials};
}

} // namespace bamboohoist
