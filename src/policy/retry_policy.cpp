#include "policy/retry_policy.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr std::uint32_t max_attempts = 4;
constexpr std::uint32_t max_crashes = 1;
/// With less time left an attempt on another target has no prospect.
constexpr duration least_time_left = std::chrono::milliseconds(2);

bool concerns_request(error_kind kind)
{
    switch (kind)
    {
    case error_kind::bad_request:
    case error_kind::quarantined:
    case error_kind::key_reused:
    case error_kind::response_too_large:
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
    const bool worth_it = failed.attempts_ < max_attempts &&
                          failed.reached_ < failed.max_reached_ &&
                          failed.time_left_ > least_time_left && failed.crashes_ <= max_crashes &&
                          !concerns_request(failed.error_);
    return safe && worth_it ? retry_decision::retry : retry_decision::give_up;
}

void retry_window::add_first(instant now)
{
    ++steps_[move_to(now)].first_;
}

void retry_window::add_retry(instant now)
{
    ++steps_[move_to(now)].retries_;
}

double retry_window::room(double share, double burst, instant now)
{
    move_to(now);
    double first = 0.0;
    double retries = 0.0;
    for (const step& item : steps_)
    {
        first += item.first_;
        retries += item.retries_;
    }
    return share * first + burst - retries;
}

std::size_t retry_window::move_to(instant now)
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second - newest_s_ >= static_cast<std::int64_t>(steps))
    {
        steps_.fill(step{});
        newest_s_ = second;
    }
    while (newest_s_ < second)
    {
        ++newest_s_;
        steps_[static_cast<std::size_t>(newest_s_) % steps] = step{};
    }
    return static_cast<std::size_t>(newest_s_) % steps;
}

void retry_budget::set_burst(double retries)
{
    burst_ = retries;
}

void retry_budget::record_first_attempt(std::string_view service, std::string_view organisation,
                                        instant now)
{
    services_[hash_text(service)].add_first(now);
    organisations_[hash_text(organisation) % organisation_windows].add_first(now);
}

bool retry_budget::try_spend(std::string_view service, std::string_view organisation, double share,
                             instant now)
{
    retry_window& by_service = services_[hash_text(service)];
    retry_window& by_organisation = organisations_[hash_text(organisation) % organisation_windows];
    if (by_service.room(share, burst_, now) < 1.0 ||
        by_organisation.room(share, default_burst, now) < 1.0)
    {
        return false;
    }
    by_service.add_retry(now);
    by_organisation.add_retry(now);
    return true;
}

} // namespace bamboohoist
