#include "policy/retry_policy.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr std::uint32_t max_attempts = 4;
constexpr std::uint32_t max_crashes = 1;
/// With less time left an attempt on another target has no prospect.
constexpr duration least_time_left = std::chrono::milliseconds(2);
/// Tokens that a bucket starts with and never exceeds, so that rare requests can be retried.
constexpr double bucket_size = 10.0;

bool concerns_request(error_kind kind)
{
    switch (kind)
    {
    case error_kind::bad_request:
    case error_kind::quarantined:
    case error_kind::key_reused:
    case error_kind::answer_too_large:
    case error_kind::cancelled:
    case error_kind::deadline_exceeded:
    case error_kind::store_unavailable:
        return true;
    default:
        return false;
    }
}

} // namespace

retry_verdict decide_retry(const failed_attempt& failed)
{
    const bool safe = failed.outcome_ == outcome::not_run || failed.idempotent_;
    const bool worth_it = failed.attempts_ < max_attempts && failed.time_left_ > least_time_left &&
                          failed.crashes_ <= max_crashes && !concerns_request(failed.error_);
    return safe && worth_it ? retry_verdict::retry : retry_verdict::answer;
}

void retry_budget::earn(std::string_view service, std::string_view organisation, double share)
{
    double& by_service = service_bucket(service);
    double& by_organisation = organisation_bucket(organisation);
    by_service = std::min(bucket_size, by_service + share);
    by_organisation = std::min(bucket_size, by_organisation + share);
}

bool retry_budget::spend(std::string_view service, std::string_view organisation)
{
    double& by_service = service_bucket(service);
    double& by_organisation = organisation_bucket(organisation);
    if (by_service < 1.0 || by_organisation < 1.0)
    {
        return false;
    }
    by_service -= 1.0;
    by_organisation -= 1.0;
    return true;
}

double& retry_budget::service_bucket(std::string_view service)
{
    return services_.try_emplace(hash_text(service), bucket_size).first->second;
}

double& retry_budget::organisation_bucket(std::string_view organisation)
{
    if (!filled_)
    {
        organisations_.fill(bucket_size);
        filled_ = true;
    }
    return organisations_[hash_text(organisation) % organisation_buckets];
}

} // namespace bamboohoist
