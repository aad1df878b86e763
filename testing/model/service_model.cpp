#include "model/service_model.hpp"

#include <array>
#include <cmath>

namespace bamboohoist::testing {

namespace {

constexpr double latency_gain = 0.2;
constexpr double caller_timeout_ms = 2000.0; ///< When the caller of a stalled request gives up.
constexpr double harm_threshold_ms = 1000.0;
constexpr std::uint32_t max_stalls = 6;
constexpr std::uint32_t errors_to_eject = 5;
constexpr duration five_errors_ejection_time = std::chrono::seconds(30);
constexpr std::size_t failing_target = 0;

double seconds_between(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

std::string_view to_string(failure_kind kind)
{
    constexpr std::array<std::string_view, 8> names{"none",     "stall",       "slow_3x",
                                                    "slow_10x", "errors_30pc", "fast_errors",
                                                    "flapping", "all_slow_5x"};
    return names[static_cast<std::size_t>(kind)];
}

service_model::service_model(const model_options& options)
    : options_(options), random_(options.seed_), onset_(from_ms(options.onset_s_ * 1000.0)),
      targets_(options.targets_)
{
    for (model_target& target : targets_)
    {
        target.health_ = target_health(options_.health_goal_);
        schedule_pause(target);
    }
}

model_result service_model::run()
{
    const instant end{from_ms(options_.seconds_ * 1000.0)};
    instant next_arrival{};
    while (next_arrival < end)
    {
        while (!steps_.empty() && steps_.top().at_ <= next_arrival)
        {
            const step due = steps_.top();
            steps_.pop();
            now_ = due.at_;
            due.kind_ == step_kind::completion ? complete(due) : check_stall(due);
        }
        now_ = next_arrival;
        arrive();
        const double gap_s = -std::log(1.0 - random_.uniform()) / options_.rate_;
        next_arrival += from_ms(gap_s * 1000.0);
    }
    result_.target_hours_ = static_cast<double>(targets_.size()) * options_.seconds_ / 3600.0;
    return result_;
}

void service_model::arrive()
{
    ++result_.requests_;
    const auto known = candidates();
    const auto chosen = choose_target(known, {options_.floor_, true}, random_);
    if (!chosen)
    {
        ++result_.harmed_;
        return;
    }
    std::vector<double> weights;
    apply_floor(known, options_.floor_, weights);
    double remaining_slots = 0.0;
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        remaining_slots += weights[i] > 0.0 ? known[i].slots_ : 0.0;
    }
    const double total = static_cast<double>(options_.slots_) * static_cast<double>(weights.size());
    result_.floor_broken_ += remaining_slots < options_.floor_ * total ? 1 : 0;
    send(chosen->index_);
}

void service_model::send(std::size_t index)
{
    model_target& target = targets_[index];
    result_.sent_to_failing_ += is_failing(index) ? 1 : 0;
    if (target.running_ >= options_.slots_ * 2)
    {
        ++result_.harmed_; // Shed by the guard.
        return;
    }
    ++target.running_;
    bool error = false;
    bool hangs = false;
    double latency_ms = draw_latency_ms(index, error, hangs);
    latency_ms = hangs ? caller_timeout_ms : std::min(latency_ms, caller_timeout_ms);
    steps_.push(
        {now_ + from_ms(latency_ms), index, step_kind::completion, latency_ms, error || hangs, 0});
    const duration limit = target.health_.stall_limit(baseline_estimator_.baseline());
    if (from_ms(latency_ms) > limit)
    {
        steps_.push(
            {now_ + limit, index, step_kind::stall_check, latency_ms - to_ms(limit), false, 1});
    }
}

void service_model::complete(const step& done)
{
    model_target& target = targets_[done.target_];
    --target.running_;
    target.latency_ms_ += latency_gain * (done.latency_ms_ - target.latency_ms_);
    result_.harmed_ += done.error_ || done.latency_ms_ > harm_threshold_ms ? 1 : 0;
    const service_baseline baseline = baseline_estimator_.baseline();
    const observation seen = target_health::classify(done.latency_ms_, done.error_, baseline);
    const bool timed_out = done.latency_ms_ >= caller_timeout_ms;
    if (!timed_out)
    {
        // A request that timed out has no response that an ingress could learn from.
        baseline_estimator_.add(done.latency_ms_, seen != observation::good);
    }
    const bool already_counted = from_ms(done.latency_ms_) > target.health_.stall_limit(baseline);
    if (!already_counted)
    {
        observe(done.target_, seen);
    }
    target.consecutive_errors_ = done.error_ ? target.consecutive_errors_ + 1 : 0;
    if (options_.policy_ == ejection_policy::five_errors &&
        target.consecutive_errors_ >= errors_to_eject && now_ >= target.ejected_until_)
    {
        target.consecutive_errors_ = 0;
        target.ejected_until_ = now_ + five_errors_ejection_time;
        record_ejection(done.target_);
    }
}

void service_model::check_stall(const step& check)
{
    observe(check.target_,
            check.stall_count_ == 1 ? observation::stalled : observation::still_stalled);
    const duration limit =
        targets_[check.target_].health_.stall_limit(baseline_estimator_.baseline());
    if (check.stall_count_ < max_stalls && from_ms(check.latency_ms_) > limit)
    {
        step next = check;
        next.at_ = now_ + limit;
        next.latency_ms_ -= to_ms(limit);
        ++next.stall_count_;
        steps_.push(next);
    }
}

void service_model::observe(std::size_t index, observation seen)
{
    if (options_.policy_ != ejection_policy::evidence)
    {
        return;
    }
    target_health& health = targets_[index].health_;
    health.advance(now_);
    if (health.observe(seen, baseline_estimator_.baseline(), now_))
    {
        record_ejection(index);
    }
}

void service_model::record_ejection(std::size_t index)
{
    const bool failing = options_.failure_ != failure_kind::none && now_ >= onset_;
    const bool justified =
        failing && index == failing_target && options_.failure_ != failure_kind::all_slow_5x;
    if (!justified)
    {
        ++result_.false_ejections_;
    }
    else if (result_.detection_s_ < 0.0)
    {
        result_.detection_s_ = seconds_between(onset_, now_);
    }
}

bool service_model::is_failing(std::size_t index) const
{
    if (now_ < onset_ || options_.failure_ == failure_kind::none)
    {
        return false;
    }
    if (options_.failure_ == failure_kind::all_slow_5x)
    {
        return true;
    }
    const bool stalls_now = std::fmod(seconds_between(onset_, now_), 2.0) < 1.0;
    return index == failing_target && (options_.failure_ != failure_kind::flapping || stalls_now);
}

double service_model::draw_latency_ms(std::size_t index, bool& error, bool& hangs)
{
    model_target& target = targets_[index];
    double latency_ms = random_.log_normal(options_.median_ms_, options_.sigma_);
    latency_ms *= random_.chance(options_.tail_fraction_) ? 10.0 : 1.0;
    error = random_.chance(options_.error_fraction_);
    if (is_failing(index))
    {
        switch (options_.failure_)
        {
        case failure_kind::stall:
        case failure_kind::flapping:
            hangs = true;
            break;
        case failure_kind::slow_3x:
            latency_ms *= 3.0;
            break;
        case failure_kind::slow_10x:
            latency_ms *= 10.0;
            break;
        case failure_kind::all_slow_5x:
            latency_ms *= 5.0;
            break;
        case failure_kind::errors_30_percent:
            error = error || random_.chance(0.3);
            break;
        case failure_kind::fast_errors:
            error = true;
            latency_ms = 1.0;
            break;
        case failure_kind::none:
            break;
        }
    }
    while (target.pause_end_ < now_)
    {
        schedule_pause(target);
    }
    if (now_ + from_ms(latency_ms) > target.pause_begin_)
    {
        latency_ms += to_ms(target.pause_end_ - std::max(now_, target.pause_begin_));
    }
    return latency_ms;
}

void service_model::schedule_pause(model_target& target)
{
    const double gap_s = -std::log(1.0 - random_.uniform()) * options_.pause_interval_s_;
    target.pause_begin_ = std::max(target.pause_end_, now_) + from_ms(gap_s * 1000.0);
    target.pause_end_ = target.pause_begin_ + from_ms(options_.pause_ms_);
}

std::vector<candidate> service_model::candidates()
{
    std::vector<candidate> known;
    known.reserve(targets_.size());
    for (model_target& target : targets_)
    {
        target.health_.advance(now_);
        candidate entry;
        entry.slots_ = options_.slots_;
        entry.load_ = target.running_;
        entry.latency_ms_ = target.latency_ms_;
        switch (options_.policy_)
        {
        case ejection_policy::none:
            break;
        case ejection_policy::five_errors:
            entry.weight_ = now_ < target.ejected_until_ ? 0.0 : 1.0;
            break;
        case ejection_policy::evidence:
            entry.weight_ = target.health_.weight();
            break;
        }
        known.push_back(entry);
    }
    return known;
}

} // namespace bamboohoist::testing
