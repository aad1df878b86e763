#include "policy/retry_policy.hpp"

#include "core/hash.hpp"
#include "core/message.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr std::uint32_t max_attempts = 4;
constexpr std::uint32_t max_crashes = 1;
/// With less time left, an attempt on another target cannot succeed.
constexpr duration min_time_left = std::chrono::milliseconds(2);
constexpr duration min_retry_after = std::chrono::milliseconds(100);
constexpr duration max_retry_after = std::chrono::seconds(1);

/// True for errors that another attempt would not avoid.

bool is_permanent_error(error_kind kind)
{
    switch (kind)
    {
    case error_kind::bad_request:
    case error_kind::quarantined:
    case error_kind::key_reused:
    case error_kind::cancelled:
    case error_kind::deadline_exceeded:
    case error_kind::store_unavailable:
        return true;
    default:
        return false;
    }
}

} // namespace

retry_decision decide_retry(const failed_attempt& failed)
{
    const bool safe = failed.outcome_ == outcome::not_run || failed.idempotent_;
    const bool may_succeed = failed.attempts_ < max_attempts &&
                             failed.targets_reached_ < failed.max_targets_reached_ &&
                             failed.time_left_ > min_time_left && failed.crashes_ <= max_crashes &&
                             !is_permanent_error(failed.error_);
    return safe && may_succeed ? retry_decision::retry : retry_decision::give_up;
}

std::optional<duration> retry_after(error_kind kind, outcome result,
                                    std::optional<duration> typical_latency)
{
    if (result != outcome::not_run || error_response_for(kind).status_ < first_server_error_status)
    {
        return std::nullopt;
    }
    if (kind == error_kind::overloaded && typical_latency)
    {
        // After half of the typical latency some target is expected to have a free slot.
        return std::clamp<duration>(*typical_latency / 2, min_retry_after, max_retry_after);
    }
    return max_retry_after;
}

void retry_window::add_first_attempt(instant now)
{
    ++steps_[advance_to(now)].first_attempts_;
}

void retry_window::add_retry(instant now)
{
    ++steps_[advance_to(now)].retries_;
}

double retry_window::remaining_retries(double fraction, double burst, instant now)
{
    advance_to(now);
    double first_attempts = 0.0;
    double retries = 0.0;
    for (const step& item : steps_)
    {
        first_attempts += item.first_attempts_;
        retries += item.retries_;
    }
    return fraction * first_attempts + burst - retries;
}

std::size_t retry_window::advance_to(instant now)
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second - newest_second_ >= static_cast<std::int64_t>(step_count))
    {
        steps_.fill(step{});
        newest_second_ = second;
    }
    while (newest_second_ < second)
    {
        ++newest_second_;
        steps_[static_cast<std::size_t>(newest_second_) % step_count] = step{};
    }
    return static_cast<std::size_t>(newest_second_) % step_count;
}

void retry_budget::set_burst(double retries)
{
    burst_ = retries;
}

void retry_budget::withhold_burst(instant started)
{
    burst_from_ = started + retry_window::length;
}

double retry_budget::burst_at(instant now) const
{
    return now < burst_from_ ? 0.0 : burst_;
}

void retry_budget::record_first_attempt(std::string_view service, std::string_view organisation,
                                        instant now)
{
    services_[hash_text(service)].add_first_attempt(now);
    window_of_organisation(organisation).add_first_attempt(now);
}

bool retry_budget::has_retry(std::string_view service, std::string_view organisation,
                             double fraction, instant now)
{
    return services_[hash_text(service)].remaining_retries(fraction, burst_at(now), now) >= 1.0 &&
           window_of_organisation(organisation).remaining_retries(fraction, default_burst, now) >=
               1.0;
}

bool retry_budget::try_spend(std::string_view service, std::string_view organisation,
                             double fraction, instant now)
{
    if (!has_retry(service, organisation, fraction, now))
    {
        return false;
    }
    services_[hash_text(service)].add_retry(now);
    window_of_organisation(organisation).add_retry(now);
    return true;
}

retry_window& retry_budget::window_of_organisation(std::string_view organisation)
{
    return organisations_[hash_text(organisation) % organisation_window_count];
}

} // namespace bamboohoist
