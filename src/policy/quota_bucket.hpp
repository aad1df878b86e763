#ifndef BAMBOOHOIST_POLICY_QUOTA_BUCKET_HPP
#define BAMBOOHOIST_POLICY_QUOTA_BUCKET_HPP

#include "policy/quota_terms.hpp"

namespace bamboohoist {

/// The credits that an owner has for one organisation: a token bucket, and the count of leased
/// credits that may not be used yet. In any window the credits granted from it and used number at
/// most rate × window + capacity + the bound on leased credits.
class quota_bucket
{
public:
    /// What one bucket may grant. A substitute's bucket has a capacity and a rate of its own.
    struct shape
    {
        double capacity_ = 0.0;
        double rate_per_s_ = 0.0;
        double max_leased_ = 0.0; ///< Credits leased ahead of need at the same time.
    };

    quota_bucket(const quota_rule& rule, const shape& initial_shape, double balance, instant now);

    /// Changes capacity and rate; the balance is cut to the new capacity.
    void set_shape(const shape& changed, instant now);

    quota_reply grant(const quota_ask& ask, instant now);

    /// True when the bucket is as a new one would be, so that it need not be kept.
    bool is_unused(instant now) const;

private:
    void refill(instant now);
    void settle(std::uint32_t credits);
    /// Sets when to ask again and when callers should retry, after `denied` requests got no credit.
    void schedule_retry(quota_reply& reply, std::uint32_t denied, instant now);

    quota_rule rule_;
    shape shape_;
    double balance_;
    instant refilled_;
    instant next_retry_; ///< When the next credit is available that no refused caller was told of.
    // Credits leased ahead of need, in the current and the previous period of `credit_validity`.
    double leased_ = 0.0;
    double leased_before_ = 0.0;
    instant lease_period_;
};

/// The bucket of an owner. `fraction` is the part of the fleet that it sees; it applies to the
/// burst too, because each part of a fleet that is split has a full bucket at that moment.
quota_bucket::shape owner_shape(const quota_rule& rule, const quota_limit& limit, double fraction);

/// The bucket of a substitute that does not know whether the owner is gone.
quota_bucket::shape substitute_shape(const quota_rule& rule, const quota_limit& limit);

} // namespace bamboohoist

#endif
