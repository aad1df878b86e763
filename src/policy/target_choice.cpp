#include "policy/target_choice.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>

namespace bamboohoist {

namespace {

/// Below this weight a target counts as ejected.
constexpr double ejected_below = 0.02;
/// The weight of an ejected target that is kept in use because of the floor.
constexpr double floor_weight = 0.25;
/// When at least this fraction of the capacity is ejected, the health decisions are assumed to be
/// wrong.
constexpr double implausible_fraction = 0.75;
/// Requests per slot from which targets at the next distance are considered too.
constexpr double spill_load = 1.0;
/// The same limit for considering another region, which is worth it only for a much lower load.
constexpr double region_spill_load = 2.0;
/// The fraction of choices that use a single draw. Without them, a target that was slow once would
/// get no more requests, and its recovery would go unnoticed.
constexpr double single_draw_probability = 0.15;
/// A weight that came with a response is used for this long.
constexpr duration reported_weight_max_age = std::chrono::seconds(2);

double relative_load(const candidate& target)
{
    return target.load_ / std::max(1U, target.slots_);
}

/// Estimated cost of sending a request to a target; lower is better.
double score(const candidate& target, double weight)
{
    return (relative_load(target) + 1.0 / target.slots_) * (target.latency_ms_ + 0.1) / weight;
}

std::optional<std::size_t> draw_by_weight(std::span<const std::size_t> indices,
                                          std::span<const double> weights, double total,
                                          random_source& random)
{
    double remaining = random.uniform() * total;
    for (const std::size_t index : indices)
    {
        remaining -= weights[index];
        if (remaining < 0.0)
        {
            return index;
        }
    }
    return indices.empty() ? std::nullopt : std::optional(indices.back());
}

std::optional<std::size_t> better_of_two(std::span<const candidate> candidates,
                                         std::span<const std::size_t> indices,
                                         std::span<const double> weights, random_source& random)
{
    double total = 0.0;
    for (const std::size_t index : indices)
    {
        total += weights[index];
    }
    const auto first = draw_by_weight(indices, weights, total, random);
    if (!first || random.chance(single_draw_probability))
    {
        return first;
    }
    const auto second = draw_by_weight(indices, weights, total, random);
    const double first_score = score(candidates[*first], weights[*first]);
    const double second_score = score(candidates[*second], weights[*second]);
    return first_score <= second_score ? first : second;
}

bool is_ejected(const candidate& target)
{
    return target.weight_ < ejected_below;
}

/// True when so much of the capacity is ejected that the health decisions are probably wrong.
bool is_implausible(double healthy, double total)
{
    return healthy <= total * (1.0 - implausible_fraction);
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

double total_slots(std::span<const candidate> candidates)
{
    double total = 0.0;
    for (const candidate& target : candidates)
    {
        total += target.slots_;
    }
    return total;
}

/// An ejected target of the same failure domain whose next trial by this node is due.
std::optional<std::size_t> find_due_trial(std::span<const candidate> candidates)
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
    double fresh_count = 0.0;
    for (const candidate& target : candidates)
    {
        sum += target.load_fresh_ ? relative_load(target) : 0.0;
        fresh_count += target.load_fresh_ ? 1.0 : 0.0;
    }
    const double mean = fresh_count > 0.0 ? sum / fresh_count : 0.0;
    for (candidate& target : candidates)
    {
        const double assumed_load = mean * std::max(1U, target.slots_);
        target.load_ = target.load_fresh_ ? target.load_ : std::max(target.load_, assumed_load);
    }
}

double effective_weight(double announced, double reported, duration report_age)
{
    const bool ejected = announced < ejected_below;
    return !ejected && report_age < reported_weight_max_age ? reported : announced;
}

bool apply_floor(std::span<const candidate> candidates, double floor, std::vector<double>& weights)
{
    weights.clear();
    std::ranges::transform(candidates, std::back_inserter(weights), &candidate::weight_);
    const double total = total_slots(candidates);
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
    const bool ejections_implausible =
        is_implausible(healthy_slots(candidates), total_slots(candidates));
    const bool use_trials = limits.trials_allowed_ && !ejections_implausible;
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
    else if (const auto due = use_trials ? find_due_trial(candidates) : std::nullopt)
    {
        return target_choice{*due, false, false, true};
    }
    std::vector<double> weights;
    const bool floor_applied = apply_floor(candidates, limits.floor_, weights);
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
    for (const auto& indices : by_distance)
    {
        const auto found = better_of_two(candidates, indices, weights, random);
        if (!found)
        {
            continue;
        }
        if (!best || relative_load(candidates[*found]) < relative_load(candidates[*best]) / 2.0)
        {
            best = found;
        }
        const bool next_is_region = &indices == &by_distance[1];
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
    return target_choice{*best, floor_applied, ejected && !use_trials, ejected && use_trials};
}

} // namespace bamboohoist
