#include "model/hanging_model.hpp"

#include <cmath>

namespace bamboohoist::testing {

namespace {

constexpr duration tick = std::chrono::milliseconds(20);
/// The time after which the caller of a hung request gives up.
constexpr duration caller_timeout = std::chrono::seconds(4);
constexpr std::uint32_t max_stalls = 6;
constexpr std::size_t max_attempts = 6;

double exponential(double mean, random_source& random)
{
    return -std::log(1.0 - random.uniform()) * mean;
}

} // namespace

hanging_model::hanging_model(const hanging_options& options)
    : options_(options), random_(options.seed_), targets_(options.targets_)
{
    for (model_target& target : targets_)
    {
        target.hangs_ = true;
        target.switches_at_ = now_;
        switch_state_if_due(target);
    }
}

hanging_result hanging_model::run()
{
    const instant end = now_ + from_ms(options_.seconds_ * 1000.0);
    while (now_ < end)
    {
        advance_to(now_ + from_ms(exponential(1000.0 / options_.rate_, random_)));
        arrive();
    }
    return result_;
}

void hanging_model::advance_to(instant when)
{
    while (now_ < when)
    {
        now_ = std::min(when, now_ + tick);
        while (!steps_.empty() && steps_.top().at_ <= now_)
        {
            const step due = steps_.top();
            steps_.pop();
            handle(due);
        }
        for (model_target& target : targets_)
        {
            switch_state_if_due(target);
            target.health_.advance(now_);
            const bool healthy_but_ejected = target.health_.ejected() && !target.hangs_;
            result_.healthy_ejected_s_ += healthy_but_ejected ? to_ms(tick) / 1000.0 : 0.0;
        }
    }
}

void hanging_model::switch_state_if_due(model_target& target)
{
    if (now_ < target.switches_at_)
    {
        return;
    }
    target.hangs_ = !target.hangs_;
    const double mean_s = target.hangs_ ? options_.hanging_s_ : options_.healthy_s_;
    target.switches_at_ = now_ + from_ms(1000.0 * exponential(mean_s, random_));
}

void hanging_model::arrive()
{
    ++result_.requests_;
    const bool non_idempotent = !random_.chance(options_.idempotent_fraction_);
    auto known = candidates();
    for (std::size_t i = 0; i < max_attempts; ++i)
    {
        if (try_send(known, non_idempotent))
        {
            return;
        }
    }
}

bool hanging_model::try_send(std::vector<candidate>& known, bool non_idempotent)
{
    const choice_limits limits{0.7, true, non_idempotent, options_.trials_allowed_};
    const auto chosen = choose_target(known, limits, random_);
    if (!chosen)
    {
        return true;
    }
    model_target& target = targets_[chosen->index_];
    known[chosen->index_].usable_ = false;
    const bool ejected = target.health_.ejected();
    if (chosen->trial_)
    {
        target.last_trial_at_ = now_;
    }
    const bool trial = ejected && chosen->trial_ && target.health_.admit_trial(now_);
    const bool probation_busy = target.health_.on_probation() && target.running_ > 0;
    if (!chosen->last_resort_ && ((ejected && !trial) || probation_busy))
    {
        return false;
    }
    send(chosen->index_, non_idempotent, trial);
    return true;
}

void hanging_model::send(std::size_t index, bool non_idempotent, bool trial)
{
    model_target& target = targets_[index];
    ++target.running_;
    const bool hung = target.hangs_ && random_.chance(options_.hang_fraction_);
    result_.hung_ += hung ? 1 : 0;
    result_.hung_non_idempotent_ += hung && non_idempotent ? 1 : 0;
    const duration elapsed =
        hung ? caller_timeout : from_ms(random_.log_normal(options_.median_ms_, options_.sigma_));
    steps_.push({now_ + elapsed, index, 0, hung, trial, true});
    const duration limit = target.health_.stall_limit({options_.median_ms_, 0.02});
    for (std::uint32_t i = 1; i <= max_stalls && limit * i < elapsed; ++i)
    {
        steps_.push({now_ + limit * i, index, i, hung, trial, false});
    }
}

void hanging_model::handle(const step& due)
{
    model_target& target = targets_[due.target_];
    const service_baseline baseline{options_.median_ms_, 0.02};
    if (!due.is_end_)
    {
        target.health_.observe(due.stall_count_ == 1 ? observation::stalled
                                                     : observation::still_stalled,
                               baseline, now_);
        return;
    }
    --target.running_;
    if (!due.hung_)
    {
        target.health_.observe(observation::good, baseline, now_);
    }
    if (due.trial_)
    {
        target.health_.end_trial(!due.hung_);
        target.last_trial_at_ = due.hung_ ? target.last_trial_at_ : instant{};
    }
}

std::vector<candidate> hanging_model::candidates() const
{
    std::vector<candidate> known;
    for (const model_target& target : targets_)
    {
        candidate entry;
        entry.weight_ = target.health_.weight();
        entry.slots_ = options_.slots_;
        entry.load_ = target.running_;
        entry.latency_ms_ = options_.median_ms_;
        entry.trial_due_ = now_ - target.last_trial_at_ >= trial_period;
        known.push_back(entry);
    }
    return known;
}

} // namespace bamboohoist::testing
