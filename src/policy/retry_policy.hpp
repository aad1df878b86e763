#ifndef BAMBOOHOIST_POLICY_RETRY_POLICY_HPP
#define BAMBOOHOIST_POLICY_RETRY_POLICY_HPP

#include "core/clock.hpp"
#include "core/error.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace bamboohoist {

/// What is known when an attempt has failed.
struct failed_attempt
{
    outcome outcome_ = outcome::unknown;
    error_kind error_ = error_kind::internal;
    bool idempotent_ = false;
    std::uint32_t attempts_ = 1; ///< Including the failed one.
    std::uint32_t crashes_ = 0;  ///< Attempts that ended with the crash of their target.
    duration time_left_{};
};

/// What to do after a failed attempt.
enum class retry_verdict
{
    answer, ///< Tell the caller.
    retry,  ///< Try another target, if the budgets allow.
};

/// Decides by outcome: only what certainly did not run, or may run again, is tried again.
retry_verdict decide_retry(const failed_attempt& failed);

/// Bounds retries to a share of first attempts, per service and per organisation. Memory is
/// bounded: organisations share a fixed number of buckets by hash.
class retry_budget
{
public:
    /// A first attempt earns `share` of a retry for its service and organisation.
    void earn(std::string_view service, std::string_view organisation, double share);

    /// Takes one retry from both budgets. False when either is used up.
    bool spend(std::string_view service, std::string_view organisation);

private:
    static constexpr std::size_t organisation_buckets = 1024;

    double& service_bucket(std::string_view service);
    double& organisation_bucket(std::string_view organisation);

    std::unordered_map<std::uint64_t, double> services_; ///< As many as the manifest declares.
    std::array<double, organisation_buckets> organisations_{};
    bool filled_ = false;
};

} // namespace bamboohoist

#endif
