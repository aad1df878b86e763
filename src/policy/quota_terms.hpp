#ifndef BAMBOOHOIST_POLICY_QUOTA_TERMS_HPP
#define BAMBOOHOIST_POLICY_QUOTA_TERMS_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <string>

namespace bamboohoist {

inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

inline duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// How exactly the quotas of organisations have to be kept, from the settings.
struct quota_rule
{
    duration window_ = std::chrono::seconds(5);
    double overage_ = 0.1; ///< Part of a quota by which it may be exceeded in any window.
    double slack_ = 20.0;  ///< Requests by which it may be exceeded besides.
};

/// The quota of one organisation over all nodes.
struct quota_limit
{
    double rate_per_s_ = 0.0; ///< 0 for no limit.
    double burst_ = 0.0;

    bool operator==(const quota_limit&) const = default;
};

/// The requests by which an organisation may exceed rate × window + burst in any window.
inline double quota_tolerance(const quota_rule& rule, const quota_limit& limit)
{
    const double window_quota = limit.rate_per_s_ * to_seconds(rule.window_) + limit.burst_;
    return rule.overage_ * window_quota + rule.slack_;
}

// How the tolerance is divided among the reasons for which a window can hold more than rate ×
// window + burst. The parts add up to 1, so that all of them together still keep the bound.

/// Added to the burst. At a rate of 5 and a burst of 5, a bucket of 5 would refuse about 1 in 200
/// requests of Poisson arrivals at rate / 1.6.
constexpr double burst_tolerance_part = 0.2;
/// Leased credits that no request waits for; they may be used in a later window.
constexpr double lease_tolerance_part = 0.2;
/// What a substitute grants at once, and again in each window, while it is not certain that the
/// owner is gone.
constexpr double substitute_tolerance_part = 0.2;
constexpr double substitute_refill_part = 0.1;
/// What all ingresses together admit in a window without an owner's reply.
constexpr double fixed_tolerance_part = 0.1;
// The remaining fifth is for initial credits of new owners, credits given back by requests that did
// not run, and requests that are sent some time after they got their credit.

/// How long an unused credit is valid.
constexpr duration credit_validity = std::chrono::seconds(1);

/// To whom an ingress sends an ask.
enum class quota_role : std::uint8_t
{
    owner,      ///< The owner of the shard, as known to the ingress.
    redirected, ///< The node after the owner, because the owner said so.
    substitute, ///< The node after the owner, because the owner cannot be reached.
    count,      ///< Number of roles; not a role.
};

/// An ingress's request for credits of one organisation.
struct quota_ask
{
    std::string organisation_;
    quota_role role_ = quota_role::owner;
    std::string owner_ = {};     ///< The owner of the shard as known to the ingress, if not asked.
    std::uint32_t waiting_ = 0;  ///< Requests that wait for a credit.
    std::uint32_t wanted_ = 0;   ///< Those, and the ones that are expected soon.
    std::uint32_t used_ = 0;     ///< Leased credits used since the last ask.
    std::uint32_t returned_ = 0; ///< Leased credits that expired unused since the last ask.
};

/// What became of an ask.
enum class quota_verdict : std::uint8_t
{
    granted,
    refused,    ///< No credit now.
    redirected, ///< The node after the owner decides for now.
    not_owner,  ///< Not an owner of the shard, or the organisation is not known here.
    count,      ///< Number of verdicts; not a verdict.
};

/// The reply to an ask.
struct quota_reply
{
    quota_verdict verdict_ = quota_verdict::not_owner;
    std::uint32_t granted_ = 0;
    duration valid_{};       ///< How long credits that no request waits for can be used.
    duration ask_again_{};   ///< When this ingress may ask again; after a refusal.
    duration retry_after_{}; ///< When a caller should try again; after a refusal.
    double balance_ = 0.0;   ///< Credits that are left, for the log.
};

} // namespace bamboohoist

#endif
