#include "policy/quota_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace bamboohoist {

namespace {

/// A refused ingress asks again within this time even if the next credit is promised to others,
/// which may not use it.
constexpr duration max_ask_again = std::chrono::seconds(1);
constexpr duration min_ask_again = std::chrono::milliseconds(5);

} // namespace

quota_bucket::quota_bucket(const quota_rule& rule, const shape& initial_shape, double balance,
                           instant now)
    : rule_(rule), shape_(initial_shape), balance_(std::min(balance, initial_shape.capacity_)),
      refilled_(now), next_retry_(now), lease_period_(now)
{
}

void quota_bucket::set_shape(const shape& changed, instant now)
{
    refill(now);
    shape_ = changed;
    balance_ = std::min(balance_, shape_.capacity_);
    next_retry_ = now;
}

quota_reply quota_bucket::grant(const quota_ask& ask, instant now)
{
    refill(now);
    settle(ask.used_);
    // Only credits that count as leased can come back; others would exceed the bound later.
    const auto returned = std::min<double>(ask.returned_, leased_ + leased_before_);
    settle(ask.returned_);
    balance_ = std::min(shape_.capacity_, balance_ + returned);

    const auto available = static_cast<std::uint32_t>(std::max(0.0, std::floor(balance_)));
    const std::uint32_t needed = std::min(ask.waiting_, available);
    const std::uint32_t ahead =
        std::min(ask.wanted_ - std::min(ask.wanted_, ask.waiting_), available - needed);
    const double room = std::max(0.0, shape_.max_leased_ - leased_ - leased_before_);
    const std::uint32_t leased = std::min(ahead, static_cast<std::uint32_t>(std::floor(room)));
    balance_ -= needed + leased;
    leased_ += leased;

    quota_reply reply;
    reply.granted_ = needed + leased;
    reply.valid_ = credit_validity;
    reply.verdict_ = needed < ask.waiting_ ? quota_verdict::refused : quota_verdict::granted;
    reply.balance_ = balance_;
    if (reply.verdict_ == quota_verdict::refused)
    {
        schedule_retry(reply, ask.waiting_ - needed, now);
    }
    return reply;
}

bool quota_bucket::is_unused(instant now) const
{
    const double accrued = shape_.rate_per_s_ * to_seconds(std::max(duration{}, now - refilled_));
    const bool leases = leased_ + leased_before_ > 0.0 && now - lease_period_ < 2 * credit_validity;
    return balance_ + accrued >= shape_.capacity_ && !leases;
}

void quota_bucket::refill(instant now)
{
    if (now > refilled_)
    {
        balance_ =
            std::min(shape_.capacity_, balance_ + shape_.rate_per_s_ * to_seconds(now - refilled_));
        refilled_ = now;
    }
    const duration age = now - lease_period_;
    if (age >= credit_validity)
    {
        leased_before_ = age < 2 * credit_validity ? leased_ : 0.0;
        leased_ = 0.0;
        lease_period_ = now;
    }
}

void quota_bucket::settle(std::uint32_t credits)
{
    const auto amount = static_cast<double>(credits);
    const double from_before = std::min(amount, leased_before_);
    leased_before_ -= from_before;
    leased_ = std::max(0.0, leased_ - (amount - from_before));
}

void quota_bucket::schedule_retry(quota_reply& reply, std::uint32_t denied, instant now)
{
    if (shape_.rate_per_s_ <= 0.0)
    {
        reply.ask_again_ = max_ask_again;
        reply.retry_after_ = rule_.window_;
        return;
    }
    const instant latest = now + rule_.window_;
    const instant next_credit =
        now +
        std::min(rule_.window_, from_seconds(std::max(0.0, 1.0 - balance_) / shape_.rate_per_s_));
    const instant slot = std::clamp(next_retry_, next_credit, latest);
    next_retry_ =
        std::min(latest, slot + std::min(rule_.window_, from_seconds(denied / shape_.rate_per_s_)));
    reply.ask_again_ = std::clamp(slot - now, min_ask_again, max_ask_again);
    reply.retry_after_ = slot - now;
}

quota_bucket::shape owner_shape(const quota_rule& rule, const quota_limit& limit, double fraction)
{
    const double tolerance = quota_tolerance(rule, limit);
    return {std::max(1.0, limit.burst_ * fraction + burst_tolerance_part * tolerance),
            limit.rate_per_s_ * fraction, lease_tolerance_part * tolerance};
}

quota_bucket::shape substitute_shape(const quota_rule& rule, const quota_limit& limit)
{
    const double tolerance = quota_tolerance(rule, limit);
    return {substitute_tolerance_part * tolerance,
            substitute_refill_part * tolerance / to_seconds(rule.window_), 0.0};
}

} // namespace bamboohoist
