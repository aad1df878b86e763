#include "policy/rank_floor.hpp"

#include <cmath>

namespace bamboohoist {

namespace {

/// Part of the mean share of slots that each rank with work is credited with. A quarter is
/// promised; a rank gets slightly less than its credit, because credit is capped and slots are
/// whole.
constexpr double floor_of_mean_share = 0.27;
/// The floor holds over any second, so a rank without requests for longer has no claim.
constexpr duration demand_period = std::chrono::seconds(1);
/// A rank whose next request comes late keeps the part that accrues meanwhile, but cannot save up
/// more than two slots beyond the one that it is owed.
constexpr double max_credit = 3.0;
/// Sums of fractions such as 1/12 end just below a whole slot.
constexpr double rounding = 1e-9;

/// How many requests of one run time a slot of another run time could have served.
double slots_within(duration slot_time, duration run_time)
{
    const bool known = slot_time > duration::zero() && run_time > duration::zero();
    return known ? static_cast<double>(slot_time.count()) / static_cast<double>(run_time.count())
                 : 1.0;
}

} // namespace

void rank_floor::record_demand(const queued_request& request, instant now)
{
    account& wanting = accounts_.use(request.rank_);
    if (request.expected_run_time_ > duration::zero())
    {
        wanting.run_time_ = request.expected_run_time_;
    }
    if (now - wanting.wanted_ > demand_period)
    {
        wanting.credit_ = 0.0;
    }
    wanting.wanted_ = now;
}

void rank_floor::record_grant(const queued_request& granted, std::span<const queued_request> queue,
                              instant now)
{
    for (const queued_request& waiting : queue)
    {
        accounts_.use(waiting.rank_).wanted_ = now;
    }
    const auto has_work = [now](const auto& entry) {
        return now - entry.value_.wanted_ <= demand_period;
    };
    const auto ranks = static_cast<double>(std::ranges::count_if(accounts_.entries(), has_work));
    for (auto& entry : accounts_.entries())
    {
        account& credited = entry.value_;
        if (has_work(entry))
        {
            const double slots = slots_within(granted.expected_run_time_, credited.run_time_);
            credited.credit_ =
                std::min(max_credit, credited.credit_ + floor_of_mean_share * slots / ranks);
        }
        if (entry.rank_ == granted.rank_)
        {
            credited.credit_ = std::max(0.0, credited.credit_ - 1.0);
        }
    }
}

std::int64_t rank_floor::owed(const request_rank& rank, double reserved) const
{
    return static_cast<std::int64_t>(std::floor(credit(rank) - reserved + rounding));
}

double rank_floor::credit(const request_rank& rank) const
{
    const account* const found = accounts_.find(rank);
    return found == nullptr ? 0.0 : found->credit_;
}

} // namespace bamboohoist
