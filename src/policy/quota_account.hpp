#ifndef BAMBOOHOIST_POLICY_QUOTA_ACCOUNT_HPP
#define BAMBOOHOIST_POLICY_QUOTA_ACCOUNT_HPP

#include "policy/quota_terms.hpp"

#include <optional>
#include <vector>

namespace bamboohoist {

/// One organisation's credits at an ingress: those leased from the owner, the owner's last refusal,
/// and the fixed share that decides while no owner can be reached.
class quota_account
{
public:
    /// `shares` is the number of ingresses among which the fixed share is divided. It has accrued
    /// for a window, but not for longer than this node has known the fleet.
    quota_account(const quota_rule& rule, const quota_limit& limit, std::size_t shares, instant now,
                  duration known_for = duration::max());

    void set_limit(const quota_limit& limit, std::size_t shares, instant now);

    /// Counts a request, for the estimate of what is needed next.
    void record_arrival(instant now);

    /// Takes a held credit. False when there is none.
    bool take(instant now);

    /// While a refusal of the owner is in effect: the time after which the caller should try again.
    /// Each call moves the next one by 1 / rate.
    std::optional<duration> refuse_by_last_reply(instant now);

    /// Decides by a part of the rate, which has accrued since `since`, while it is not known who
    /// else decides. There is no burst: the processes before may have granted it.
    bool take_provisional(std::size_t parts, double draw, instant since, instant now);

    /// The fleet has become known: the fixed share accrues from now on.
    void restart_fixed_share(instant now);

    /// Decides by the fixed share. `draw` is a random number in `[0, 1)`.
    bool take_fixed(double draw, instant now);

    /// When the fixed share has a credit again.
    duration fixed_retry_after() const;

    /// True when credits run out soon although no request waits yet.
    bool runs_out(instant now);

    /// Makes an ask for this many waiting requests. There is at most one at a time.
    quota_ask begin_ask(std::uint32_t waiting, instant now);
    bool is_asking() const;

    /// Takes the reply to the ask; returns how many waiting requests are admitted by it.
    std::uint32_t end_ask(const quota_reply& reply, std::uint32_t waiting, instant now);

    /// The ask got no reply, or one without a decision.
    void abandon_ask();

    /// Gives back the credit of a request that did not run. Only a recent one can be used again:
    /// one that was taken in an earlier window would exceed the bound in this one.
    void give_back(instant taken, instant now);

    /// True when nothing would be lost by removing the account.
    bool is_idle(instant now) const;

    double balance() const; ///< Held credits, for the log.

private:
    /// Credits that are valid until the same time.
    struct lot
    {
        std::uint32_t credits_ = 0;
        instant valid_until_;
        bool leased_ = true; ///< Counted by the owner as leased ahead of need.
    };

    void expire(instant now);
    void refill_fixed(instant now);
    double expected_per_s(instant now) const;

    quota_rule rule_;
    quota_limit limit_;
    std::size_t shares_;
    std::vector<lot> lots_;
    /// Until when credits could be used that were given back and taken again. Without it a credit
    /// could be carried on by one refused request after the other.
    std::vector<instant> reused_until_;
    bool asking_ = false;
    instant asked_at_;
    std::uint32_t waiting_at_ask_ = 0;
    std::uint32_t used_ = 0;     ///< Leased credits used and not reported yet.
    std::uint32_t returned_ = 0; ///< Leased credits that expired and are not reported yet.
    instant refused_until_;
    instant next_retry_; ///< What the next refused caller is told.
    double arrivals_per_s_ = 0.0;
    instant last_arrival_;
    double fixed_balance_;
    instant fixed_refilled_;
    double provisional_balance_ = 0.0;
    std::optional<instant> provisional_refilled_;
};

} // namespace bamboohoist

#endif
