#include "policy/quota_account.hpp"

#include <algorithm>
#include <cmath>

namespace bamboohoist {

namespace {

/// Over which time arrivals are averaged.
constexpr double arrival_memory_s = 2.0;
/// The credits for this much of the expected arrivals are asked for ahead. Those for a full
/// `credit_validity` would often expire unused.
constexpr double ahead_s = 0.5;
/// With fewer credits left than arrive in this time, more are asked for before a request waits.
constexpr double low_s = 0.05;
/// How long after a request was admitted its credit can be used again.
constexpr duration give_back_limit = std::chrono::milliseconds(150);
/// An account without arrivals is removed after this time.
constexpr duration idle_time = std::chrono::seconds(5);
/// The part of the rate that is divided while the fleet is not known. The rest is for nodes that
/// know it a little sooner, and for some that the store did not list.
constexpr double provisional_part = 0.75;
constexpr duration provisional_memory = std::chrono::seconds(1);

} // namespace

quota_account::quota_account(const quota_rule& rule, const quota_limit& limit, std::size_t shares,
                             instant now, duration known_for)
    : rule_(rule), limit_(limit), shares_(std::max<std::size_t>(1, shares)), refused_until_(now),
      next_retry_(now), last_arrival_(now), fixed_balance_(0.0),
      fixed_refilled_(now - std::min(rule.window_, known_for))
{
}

void quota_account::set_limit(const quota_limit& limit, std::size_t shares, instant now)
{
    shares_ = std::max<std::size_t>(1, shares);
    if (limit == limit_)
    {
        return;
    }
    refill_fixed(now);
    limit_ = limit;
    refused_until_ = now;
}

void quota_account::record_arrival(instant now)
{
    arrivals_per_s_ = expected_per_s(now) + 1.0 / arrival_memory_s;
    last_arrival_ = now;
}

bool quota_account::take(instant now)
{
    expire(now);
    if (lots_.empty())
    {
        return false;
    }
    lot& oldest = lots_.front();
    used_ += oldest.leased_ ? 1 : 0;
    if (!oldest.leased_)
    {
        reused_until_.push_back(oldest.valid_until_);
    }
    if (--oldest.credits_ == 0)
    {
        lots_.erase(lots_.begin());
    }
    return true;
}

std::optional<duration> quota_account::refuse_by_last_reply(instant now)
{
    if (now >= refused_until_)
    {
        return std::nullopt;
    }
    const instant told = std::max(next_retry_, now);
    const duration step =
        limit_.rate_per_s_ > 0.0 ? from_seconds(1.0 / limit_.rate_per_s_) : rule_.window_;
    next_retry_ = std::min(now + rule_.window_, told + std::min(step, rule_.window_));
    return told - now;
}

bool quota_account::take_provisional(std::size_t parts, double draw, instant since, instant now)
{
    const double per_s = provisional_part * limit_.rate_per_s_ / static_cast<double>(parts);
    const instant refilled = provisional_refilled_.value_or(since);
    const double accrued = per_s * to_seconds(std::min(now - refilled, provisional_memory));
    provisional_balance_ += std::max(0.0, accrued);
    provisional_refilled_ = now;
    if (provisional_balance_ >= 1.0)
    {
        provisional_balance_ -= 1.0;
        return true;
    }
    const bool admitted = draw < provisional_balance_;
    provisional_balance_ = 0.0;
    return admitted;
}

void quota_account::restart_fixed_share(instant now)
{
    fixed_balance_ = 0.0;
    fixed_refilled_ = now;
}

bool quota_account::take_fixed(double draw, instant now)
{
    refill_fixed(now);
    if (fixed_balance_ >= 1.0)
    {
        fixed_balance_ -= 1.0;
        return true;
    }
    const bool admitted = draw < fixed_balance_;
    fixed_balance_ = 0.0;
    return admitted;
}

duration quota_account::fixed_retry_after() const
{
    return std::min(rule_.window_, std::chrono::duration_cast<duration>(credit_validity));
}

bool quota_account::runs_out(instant now)
{
    const double per_s = expected_per_s(now);
    return !asking_ && now >= refused_until_ && per_s * low_s >= 1.0 && balance() < per_s * low_s;
}

quota_ask quota_account::begin_ask(std::uint32_t waiting, instant now)
{
    expire(now);
    quota_ask ask;
    ask.waiting_ = waiting;
    ask.wanted_ = waiting + static_cast<std::uint32_t>(expected_per_s(now) * ahead_s);
    ask.used_ = used_;
    ask.returned_ = returned_;
    used_ = 0;
    returned_ = 0;
    asking_ = true;
    asked_at_ = now;
    waiting_at_ask_ = waiting;
    return ask;
}

bool quota_account::is_asking() const
{
    return asking_;
}

std::uint32_t quota_account::end_ask(const quota_reply& reply, std::uint32_t waiting, instant now)
{
    asking_ = false;
    const std::uint32_t needed = std::min(reply.granted_, waiting_at_ask_);
    const std::uint32_t leased = reply.granted_ - needed;
    const std::uint32_t admitted = std::min(needed, waiting);
    if (leased > 0)
    {
        // From the time of the ask: the owner counts them as leased from when it got the ask.
        lots_.push_back({leased, asked_at_ + std::min(reply.valid_, credit_validity), true});
    }
    if (needed > admitted)
    {
        // The credits of requests that have ended while they waited.
        lots_.push_back({needed - admitted, asked_at_ + give_back_limit, false});
    }
    if (reply.verdict_ == quota_verdict::refused)
    {
        refused_until_ = now + reply.ask_again_;
        next_retry_ = now + reply.retry_after_;
    }
    return admitted;
}

void quota_account::abandon_ask()
{
    asking_ = false;
}

void quota_account::give_back(instant taken, instant now)
{
    expire(now);
    instant valid_until = taken + give_back_limit;
    if (!reused_until_.empty())
    {
        // It may be a credit that was given back before, whose time goes on.
        valid_until = std::min(valid_until, reused_until_.front());
        reused_until_.erase(reused_until_.begin());
    }
    if (valid_until > now)
    {
        lots_.push_back({1, valid_until, false});
    }
}

bool quota_account::is_idle(instant now) const
{
    const bool holds_credits =
        std::ranges::any_of(lots_, [now](const lot& held) { return held.valid_until_ > now; });
    return !holds_credits && !asking_ && now - last_arrival_ > idle_time;
}

double quota_account::balance() const
{
    double credits = 0.0;
    for (const lot& held : lots_)
    {
        credits += held.credits_;
    }
    return credits;
}

void quota_account::expire(instant now)
{
    std::erase_if(lots_, [&](const lot& held) {
        const bool expired = held.valid_until_ <= now;
        returned_ += expired && held.leased_ ? held.credits_ : 0;
        return expired;
    });
    // Kept for as long as the request that took it may still give it back.
    std::erase_if(reused_until_, [now](instant until) { return until + give_back_limit <= now; });
}

void quota_account::refill_fixed(instant now)
{
    const double shares = static_cast<double>(shares_);
    const double window_part = fixed_tolerance_part * quota_tolerance(rule_, limit_);
    const double capacity = std::min(limit_.burst_ + 1.0, window_part) / shares;
    const double rate =
        std::min(limit_.rate_per_s_, window_part / to_seconds(rule_.window_)) / shares;
    fixed_balance_ = std::min(capacity, fixed_balance_ + rate * to_seconds(now - fixed_refilled_));
    fixed_refilled_ = now;
}

double quota_account::expected_per_s(instant now) const
{
    return arrivals_per_s_ * std::exp(-to_seconds(now - last_arrival_) / arrival_memory_s);
}

} // namespace bamboohoist
