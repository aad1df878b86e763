#include "model/hanging_model.hpp"

#include <cmath>

namespace bamboohoist::testing {

namespace {

constexpr duration tick = std::chrono::milliseconds(20);
/// When a hung request is given up by its caller.
constexpr duration patience = std::chrono::seconds(4);
constexpr std::uint32_t max_stalls = 6;
constexpr std::size_t max_offers = 6;

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
        target.turns_at_ = now_;
        turn(target);
    }
}

hanging_result hanging_model::run()
{
    const instant end = now_ + from_ms(options_.seconds_ * 1000.0);
    while (now_ < end)
    {
        move_to(now_ + from_ms(exponential(1000.0 / options_.rate_, random_)));
        arrive();
    }
    return result_;
}

void hanging_model::move_to(instant when)
{
    while (now_ < when)
    {
        now_ = std::min(when, now_ + tick);
        while (!steps_.empty() && steps_.top().at_ <= now_)
        {
            const step due = steps_.top();
            steps_.pop();
            take(due);
        }
        for (model_target& target : targets_)
        {
            turn(target);
            target.health_.advance(now_);
            const bool well_out = target.health_.ejected() && !target.hangs_;
            result_.well_out_s_ += well_out ? to_ms(tick) / 1000.0 : 0.0;
        }
    }
}

void hanging_model::turn(model_target& target)
{
    if (now_ < target.turns_at_)
    {
        return;
    }
    target.hangs_ = !target.hangs_;
    const double mean_s = target.hangs_ ? options_.hanging_s_ : options_.well_s_;
    target.turns_at_ = now_ + from_ms(1000.0 * exponential(mean_s, random_));
}

void hanging_model::arrive()
{
    ++result_.requests_;
    const bool once = !random_.chance(options_.idempotent_share_);
    auto known = candidates();
    for (std::size_t i = 0; i < max_offers; ++i)
    {
        if (place(known, once))
        {
            return;
        }
    }
}

bool hanging_model::place(std::vector<candidate>& known, bool once)
{
    const choice_limits limits{0.7, true, once, options_.trials_allowed_};
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
        target.offered_ = now_;
    }
    const bool trial = ejected && chosen->trial_ && target.health_.admit_trial(now_);
    const bool busy_trial = target.health_.on_probation() && target.running_ > 0;
    if (!chosen->last_resort_ && ((ejected && !trial) || busy_trial))
    {
        return false;
    }
    send(chosen->index_, once, trial);
    return true;
}

void hanging_model::send(std::size_t index, bool once, bool trial)
{
    model_target& target = targets_[index];
    ++target.running_;
    const bool hung = target.hangs_ && random_.chance(options_.hang_share_);
    result_.hung_ += hung ? 1 : 0;
    result_.hung_once_ += hung && once ? 1 : 0;
    const duration taken =
        hung ? patience : from_ms(random_.log_normal(options_.median_ms_, options_.sigma_));
    steps_.push({now_ + taken, index, 0, hung, trial, true});
    const duration limit = target.health_.stall_limit({options_.median_ms_, 0.02});
    for (std::uint32_t i = 1; i <= max_stalls && limit * i < taken; ++i)
    {
        steps_.push({now_ + limit * i, index, i, hung, trial, false});
    }
}

void hanging_model::take(const step& due)
{
    model_target& target = targets_[due.target_];
    const service_baseline baseline{options_.median_ms_, 0.02};
    if (!due.ends_)
    {
        target.health_.observe(due.stalls_ == 1 ? observation::stalled : observation::still_stalled,
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
        target.offered_ = due.hung_ ? target.offered_ : instant{};
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
        entry.trial_due_ = now_ - target.offered_ >= trial_period;
        known.push_back(entry);
    }
    return known;
}

} // namespace bamboohoist::testing
