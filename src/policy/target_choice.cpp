#include "policy/target_choice.hpp"

#include "policy/target_health.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>

namespace bamboohoist {

namespace {

/// The weight of an ejected target that is kept in use because of the floor.
constexpr double floor_weight = 0.25;
/// When at least this fraction of the capacity is ejected, the health decisions are assumed to be
/// wrong.
constexpr double implausible_fraction = 0.75;
/// Requests per slot from which targets at the next distance are considered too.
constexpr double spill_load = 1.0;
/// The same limit for considering another region, which is worth it only for a much lower load.
constexpr double region_spill_load = 2.0;
/// The limit from which a request that may run only once is sent to a target that was ejected for
/// errors rather than wait for another one.
constexpr double last_attempt_spill_load = 2.0;
/// The fraction of choices that use a single draw. Without them, a target that was slow once would
/// get no more requests, and its recovery would go unnoticed.
constexpr double single_draw_probability = 0.15;
/// The trial period of an ingress is doubled at most this often.
constexpr std::uint32_t max_trial_backoff = 3;
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
    return is_ejected_weight(target.weight_);
}

/// True unless the target was ejected because it fails with errors.
bool is_not_failing(const candidate& target)
{
    return target.weight_ > failing_weight;
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

bool trial_clock::is_due(instant now) const
{
    return now - last_ >= trial_period * (1U << refusals_);
}

void trial_clock::on_ejected(instant now)
{
    last_ = now;
    refusals_ = 0;
}

void trial_clock::on_sent(instant now)
{
    last_ = now;
}

void trial_clock::on_refused()
{
    refusals_ = std::min(refusals_ + 1, max_trial_backoff);
}

void trial_clock::on_good()
{
    last_ = instant{};
    refusals_ = 0;
}

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
    const bool ejected = is_ejected_weight(announced);
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
        if (is_ejected_weight(weights[i]))
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

namespace {

/// Chooses by distance, weight and load. `floor` is the fraction of the slots that stays in use.
std::optional<target_choice> choose_with_floor(std::span<const candidate> candidates, double floor,
                                               bool other_region_allowed, random_source& random)
{
    std::vector<double> weights;
    const bool floor_applied = apply_floor(candidates, floor, weights);
    std::array<std::vector<std::size_t>, 3> by_distance;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (candidates[i].usable_ && weights[i] > 0.0)
        {
            by_distance[static_cast<std::size_t>(candidates[i].distance_)].push_back(i);
        }
    }
    if (!other_region_allowed)
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
    return target_choice{*best, floor_applied, ejected, false};
}

/// Chooses among the targets for which `allowed` is true.
std::optional<target_choice> choose_among(std::span<const candidate> candidates,
                                          bool (*allowed)(const candidate&), double floor,
                                          bool other_region_allowed, random_source& random)
{
    std::vector<candidate> considered(candidates.begin(), candidates.end());
    for (candidate& target : considered)
    {
        target.usable_ &= allowed(target);
    }
    return choose_with_floor(considered, floor, other_region_allowed, random);
}

bool is_healthy(const candidate& target)
{
    return !is_ejected(target);
}

/// Chooses for a request that may run only once. A target that fails with errors is likely to fail
/// it, so it rather waits a little for another one.
std::optional<target_choice> choose_for_last_attempt(std::span<const candidate> candidates,
                                                     const choice_limits& limits, bool implausible,
                                                     random_source& random)
{
    const bool other_region = limits.other_region_allowed_;
    auto chosen = choose_among(candidates, &is_healthy, 0.0, other_region, random);
    if (chosen && relative_load(candidates[chosen->index_]) < spill_load)
    {
        return chosen;
    }
    if (!limits.trials_allowed_ || !implausible)
    {
        return std::nullopt;
    }
    chosen = choose_among(candidates, &is_not_failing, 1.0, other_region, random);
    return chosen && relative_load(candidates[chosen->index_]) < last_attempt_spill_load
               ? chosen
               : std::nullopt;
}

/// Chooses for a service whose ejected targets get trials. Only their guards know when a trial may
/// be sent, so ejected targets are not kept in use otherwise.
std::optional<target_choice> choose_with_trials(std::span<const candidate> candidates,
                                                const choice_limits& limits, random_source& random)
{
    if (!limits.last_attempt_)
    {
        if (const auto due = find_due_trial(candidates))
        {
            return target_choice{*due, false, false, true};
        }
    }
    auto chosen = choose_among(candidates, &is_healthy, 0.0, limits.other_region_allowed_, random);
    if (chosen || limits.last_attempt_)
    {
        return chosen;
    }
    chosen = choose_with_floor(candidates, 1.0, limits.other_region_allowed_, random);
    if (chosen)
    {
        chosen->last_resort_ = false;
        chosen->trial_ = true;
    }
    return chosen;
}

} // namespace

std::optional<target_choice> choose_target(std::span<const candidate> candidates,
                                           const choice_limits& limits, random_source& random)
{
    const bool implausible = is_implausible(healthy_slots(candidates), total_slots(candidates));
    if (limits.last_attempt_)
    {
        const auto chosen = choose_for_last_attempt(candidates, limits, implausible, random);
        if (chosen)
        {
            return chosen;
        }
    }
    if (limits.trials_allowed_ && !implausible)
    {
        return choose_with_trials(candidates, limits, random);
    }
    return choose_with_floor(candidates, limits.floor_, limits.other_region_allowed_, random);
}

} // namespace bamboohoist
