#include "model/gray_failure_model.hpp"

#include <cmath>

namespace bamboohoist::testing {

namespace {

constexpr duration tick = std::chrono::milliseconds(20);
/// The time after which the caller of a fails request gives up.
constexpr duration caller_timeout = std::chrono::seconds(4);
constexpr duration error_time = std::chrono::milliseconds(2);
constexpr std::uint32_t max_stalls = 6;
constexpr std::size_t max_attempts = 6;

double exponential(double mean, random_source& random)
{
    return -std::log(1.0 - random.uniform()) * mean;
}

} // namespace

gray_failure_model::gray_failure_model(const gray_failure_options& options)
    : options_(options), random_(options.seed_), targets_(options.targets_)
{
    for (model_target& target : targets_)
    {
        target.failing_ = true;
        target.switches_at_ = now_;
        switch_state_if_due(target);
    }
}

gray_failure_result gray_failure_model::run()
{
    const instant end = now_ + from_ms(options_.seconds_ * 1000.0);
    while (now_ < end)
    {
        advance_to(now_ + from_ms(exponential(1000.0 / options_.rate_, random_)));
        arrive();
    }
    return result_;
}

void gray_failure_model::advance_to(instant when)
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
            spread_news(target);
            const bool healthy_but_ejected = target.health_.ejected() && !target.failing_;
            result_.healthy_ejected_s_ += healthy_but_ejected ? to_ms(tick) / 1000.0 : 0.0;
        }
    }
}

void gray_failure_model::switch_state_if_due(model_target& target)
{
    if (now_ < target.switches_at_)
    {
        return;
    }
    target.failing_ = !target.failing_;
    const double mean_s = target.failing_ ? options_.failing_s_ : options_.healthy_s_;
    target.switches_at_ = now_ + from_ms(1000.0 * exponential(mean_s, random_));
}

void gray_failure_model::arrive()
{
    ++result_.requests_;
    place(!random_.chance(options_.idempotent_fraction_));
}

void gray_failure_model::place(bool non_idempotent)
{
    auto known = candidates();
    for (std::size_t i = 0; i < max_attempts; ++i)
    {
        if (try_send(known, non_idempotent))
        {
            return;
        }
    }
}

bool gray_failure_model::try_send(std::vector<candidate>& known, bool non_idempotent)
{
    const choice_limits limits{0.7, true, non_idempotent, options_.trials_allowed_};
    const auto chosen = choose_target(known, limits, random_);
    if (!chosen)
    {
        return true;
    }
    model_target& target = targets_[chosen->index_];
    known[chosen->index_].usable_ = false;
    if (chosen->trial_)
    {
        target.trials_.on_sent(now_);
    }
    const bool trial = chosen->trial_ && !non_idempotent && target.health_.admit_trial(now_);
    if (refuses(target, *chosen, non_idempotent, trial))
    {
        if (chosen->trial_)
        {
            target.trials_.on_refused();
        }
        return false;
    }
    send(chosen->index_, non_idempotent, trial);
    return true;
}

bool gray_failure_model::refuses(const model_target& target, const target_choice& choice,
                                 bool non_idempotent, bool trial) const
{
    if (choice.last_resort_)
    {
        return false;
    }
    const bool ejected = target.health_.ejected() && !trial;
    const bool probation_busy = target.health_.on_probation() && target.running_ > 0;
    const bool in_doubt = non_idempotent && target.running_ < options_.slots_ &&
                          !target.health_.admits_unrepeatable(now_);
    return ejected || probation_busy || in_doubt;
}

void gray_failure_model::send(std::size_t index, bool non_idempotent, bool trial)
{
    model_target& target = targets_[index];
    ++target.running_;
    const bool fails = target.failing_ && random_.chance(options_.failing_fraction_);
    result_.failed_ += fails ? 1 : 0;
    result_.failed_non_idempotent_ += fails && non_idempotent ? 1 : 0;
    const duration failing_time =
        options_.mode_ == failure_mode::errors ? error_time : caller_timeout;
    const duration elapsed =
        fails ? failing_time : from_ms(random_.log_normal(options_.median_ms_, options_.sigma_));
    const duration limit = target.health_.stall_limit({options_.median_ms_, 0.02});
    std::uint32_t stalls = 0;
    while (stalls < max_stalls && limit * (stalls + 1) < elapsed)
    {
        ++stalls;
        steps_.push({now_ + limit * stalls, index, stalls, fails, trial, false});
    }
    steps_.push({now_ + elapsed, index, stalls, fails, trial, true});
    if (fails && !non_idempotent && options_.mode_ == failure_mode::errors)
    {
        place(non_idempotent);
    }
}

void gray_failure_model::handle(const step& due)
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
    if (due.failed_ && options_.mode_ == failure_mode::errors)
    {
        target.health_.observe(observation::error, baseline, now_);
    }
    if (!due.failed_ && due.stall_count_ == 0)
    {
        target.health_.observe(observation::good, baseline, now_);
    }
    if (!due.failed_ && due.stall_count_ > 0)
    {
        target.health_.refute_stalls(due.stall_count_, baseline);
    }
    if (due.trial_)
    {
        target.health_.end_trial(!due.failed_);
    }
    if (due.trial_ && !due.failed_)
    {
        target.trials_.on_good();
    }
}

void gray_failure_model::spread_news(model_target& target)
{
    if (target.news_weight_ != target.known_weight_ && now_ >= target.news_at_)
    {
        const bool newly_ejected =
            is_ejected_weight(target.news_weight_) && !is_ejected_weight(target.known_weight_);
        target.known_weight_ = target.news_weight_;
        if (newly_ejected)
        {
            target.trials_.on_ejected(now_);
        }
    }
    const double weight = target.health_.weight();
    if (weight != target.news_weight_)
    {
        target.news_weight_ = weight;
        target.news_at_ = now_ + options_.news_delay_;
    }
}

std::vector<candidate> gray_failure_model::candidates() const
{
    std::vector<candidate> known;
    for (const model_target& target : targets_)
    {
        candidate entry;
        entry.weight_ = target.known_weight_;
        entry.slots_ = options_.slots_;
        entry.load_ = target.running_;
        entry.latency_ms_ = options_.median_ms_;
        entry.trial_due_ = target.trials_.is_due(now_);
        known.push_back(entry);
    }
    return known;
}

} // namespace bamboohoist::testing
