#include "model/overload_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bamboohoist::testing {

namespace {

constexpr double burst_factor = 2.0;
constexpr double burst_s = 2.0;
constexpr double burst_period_s = 8.0;

double seconds_between(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

double served_part::fraction() const
{
    return sent_ == 0 ? 1.0 : static_cast<double>(served_) / static_cast<double>(sent_);
}

double overload_result::part_of_floor(const request_rank& rank) const
{
    std::uint64_t all = 0;
    for (const auto& [other, part] : ranks_)
    {
        all += part.granted_;
    }
    const double floor = static_cast<double>(all) / static_cast<double>(ranks_.size()) / 4.0;
    return static_cast<double>(ranks_.at(rank).granted_) / floor;
}

overload_model::overload_model(const overload_options& options)
    : options_(options), random_(options.seed_),
      targets_(options.targets_, admission_controller(options.slots_, options.queue_limit_))
{
    double mean_ms = 0.0;
    for (const model_kind& kind : options_.kinds_)
    {
        mean_ms += kind.part_ * kind.median_ms_ * std::exp(options_.sigma_ * options_.sigma_ / 2.0);
    }
    const double slots =
        static_cast<double>(options_.targets_) * static_cast<double>(options_.slots_);
    expiries_.resize(options_.targets_);
    base_rate_ = options_.load_ * slots * 1000.0 / mean_ms;
    result_.kinds_.resize(options_.kinds_.size());
    result_.organisations_.resize(options_.organisations_.size());
}

overload_result overload_model::run()
{
    const instant end = begin_ + from_ms(options_.seconds_ * 1000.0);
    instant next_arrival = now_;
    while (next_arrival < end || !steps_.empty())
    {
        if (!steps_.empty() && (next_arrival >= end || steps_.top().at_ <= next_arrival))
        {
            const step due = steps_.top();
            steps_.pop();
            now_ = due.at_;
            process(due);
            continue;
        }
        now_ = next_arrival;
        arrive();
        next_arrival += from_ms(-std::log(1.0 - random_.uniform()) / total_rate() * 1000.0);
    }
    result_.worth_bound_ = worth_bound();
    return result_;
}

double overload_model::rate_of(std::size_t kind) const
{
    const bool bursts = kind == options_.bursting_kind_ &&
                        std::fmod(seconds_between(begin_, now_), burst_period_s) < burst_s;
    return base_rate_ * options_.kinds_[kind].part_ * (bursts ? burst_factor : 1.0);
}

double overload_model::total_rate() const
{
    double sum = 0.0;
    for (std::size_t kind = 0; kind < options_.kinds_.size(); ++kind)
    {
        sum += rate_of(kind);
    }
    return sum;
}

std::size_t overload_model::draw_kind()
{
    double draw = random_.uniform() * total_rate();
    std::size_t kind = 0;
    while (kind + 1 < options_.kinds_.size() && draw >= rate_of(kind))
    {
        draw -= rate_of(kind);
        ++kind;
    }
    return kind;
}

std::size_t overload_model::draw_organisation()
{
    const auto& all = options_.organisations_;
    const double sum = std::accumulate(
        all.begin(), all.end(), 0.0,
        [](double total, const model_organisation& entry) { return total + entry.factor_; });
    double draw = random_.uniform() * sum;
    std::size_t index = 0;
    while (index + 1 < all.size() && draw >= all[index].factor_)
    {
        draw -= all[index].factor_;
        ++index;
    }
    return index;
}

void overload_model::arrive()
{
    const std::size_t kind_index = draw_kind();
    const std::size_t organisation_index = draw_organisation();
    const model_kind& kind = options_.kinds_[kind_index];
    const model_organisation& organisation = options_.organisations_[organisation_index];
    const request_rank rank{organisation.priority_.value_or(0), kind.priority_};
    ++result_.ranks_[rank].sent_;
    ++result_.kinds_[kind_index].sent_;
    ++result_.organisations_[organisation_index][rank].sent_;
    result_.worth_sent_ += kind.worth_;
    requests_.push_back({kind_index,
                         organisation_index,
                         rank,
                         now_ + from_ms(kind.timeout_ms_),
                         from_ms(random_.log_normal(kind.median_ms_, options_.sigma_)),
                         {}});
    place(requests_.size() - 1);
}

std::optional<std::size_t> overload_model::choose_target(const request& placed)
{
    std::vector<std::size_t> untried;
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        if (std::ranges::find(placed.tried_, i) == placed.tried_.end())
        {
            untried.push_back(i);
        }
    }
    if (untried.empty() || placed.tried_.size() >= options_.max_attempts_)
    {
        return std::nullopt;
    }
    const auto load = [this](std::size_t i) {
        return targets_[i].running() + targets_[i].queued();
    };
    const std::size_t first = untried[random_.index(untried.size())];
    const std::size_t second = untried[random_.index(untried.size())];
    return load(second) < load(first) ? second : first;
}

void overload_model::place(std::uint64_t ticket)
{
    while (const auto target = choose_target(requests_[ticket]))
    {
        request& placed = requests_[ticket];
        placed.tried_.push_back(*target);
        const model_kind& kind = options_.kinds_[placed.kind_];
        const admission_request asked{ticket,
                                      options_.organisations_[placed.organisation_].name_,
                                      1.0,
                                      placed.deadline_,
                                      from_ms(kind.median_ms_),
                                      options_.ranked_ ? placed.rank_ : request_rank{}};
        const admission_decision decision = targets_[*target].request_slot(asked, now_);
        if (decision.displaced_ticket_)
        {
            result_.displaced_by_rank_ += decision.displaced_by_rank_ ? 1 : 0;
            place(*decision.displaced_ticket_);
        }
        if (decision.result_ == admission_result::admitted)
        {
            start(*target, ticket);
            return;
        }
        if (decision.result_ == admission_result::queued)
        {
            schedule_expiry(*target);
            return;
        }
    }
}

void overload_model::start(std::size_t target, std::uint64_t ticket)
{
    const request& started = requests_[ticket];
    ++result_.ranks_[started.rank_].granted_;
    const instant end = std::min(now_ + started.run_time_, started.deadline_);
    steps_.push({end, step_kind::completion, target, ticket});
}

void overload_model::process(const step& due)
{
    admission_controller& target = targets_[due.target_];
    if (due.kind_ == step_kind::completion)
    {
        const request& done = requests_[due.ticket_];
        const bool in_time = now_ < done.deadline_;
        target.release(in_time ? done.run_time_ : duration::zero());
        if (in_time)
        {
            ++result_.ranks_[done.rank_].served_;
            ++result_.kinds_[done.kind_].served_;
            ++result_.organisations_[done.organisation_][done.rank_].served_;
            result_.worth_served_ += options_.kinds_[done.kind_].worth_;
        }
    }
    refuse_expired(due.target_);
    while (const auto next = target.admit_next(now_))
    {
        start(due.target_, *next);
    }
    schedule_expiry(due.target_);
}

void overload_model::refuse_expired(std::size_t target)
{
    for (const std::uint64_t ticket : targets_[target].take_expired(now_))
    {
        place(ticket);
    }
}

void overload_model::schedule_expiry(std::size_t target)
{
    const auto next = targets_[target].next_expiry();
    if (next && (expiries_[target] <= now_ || *next < expiries_[target]))
    {
        expiries_[target] = std::max(now_, *next);
        steps_.push({expiries_[target], step_kind::expiry, target, 0});
    }
}

double overload_model::worth_bound() const
{
    std::vector<std::pair<double, double>> density_and_ms;
    double longest_ms = 0.0;
    for (const request& asked : requests_)
    {
        const model_kind& kind = options_.kinds_[asked.kind_];
        const double run_ms = to_ms(asked.run_time_);
        longest_ms = std::max(longest_ms, kind.timeout_ms_);
        if (run_ms < kind.timeout_ms_)
        {
            density_and_ms.emplace_back(kind.worth_ / run_ms, run_ms);
        }
    }
    std::ranges::sort(density_and_ms, std::greater<>());
    double slot_ms_left = static_cast<double>(options_.targets_) *
                          static_cast<double>(options_.slots_) *
                          (options_.seconds_ * 1000.0 + longest_ms);
    double worth = 0.0;
    for (const auto& [density, run_ms] : density_and_ms)
    {
        const double used_ms = std::min(run_ms, slot_ms_left);
        worth += density * used_ms;
        slot_ms_left -= used_ms;
    }
    return worth;
}

} // namespace bamboohoist::testing
