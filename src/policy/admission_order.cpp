#include "policy/admission_order.hpp"

namespace bamboohoist {

namespace {

/// Credit that an organisation which is ahead of the others of its rank leaves to them. A starved
/// rank has few queued requests to choose from, so its slots would otherwise go to the organisation
/// that sends the most.
constexpr double credit_for_others = 1.0;

} // namespace

std::size_t admission_order::next(std::span<const queued_request> queue) const
{
    if (queue.empty())
    {
        return 0;
    }
    const request_rank rank = next_rank(queue);
    const fair_share* const shares = shares_.find(rank);
    std::size_t best = queue.size();
    std::pair<double, instant> best_key;
    for (std::size_t i = 0; i < queue.size(); ++i)
    {
        if (queue[i].rank_ != rank)
        {
            continue;
        }
        const double received = shares == nullptr ? 0.0 : shares->received(queue[i].organisation_);
        const std::pair key(received, queue[i].deadline_);
        if (best == queue.size() || key < best_key)
        {
            best = i;
            best_key = key;
        }
    }
    return best;
}

request_rank admission_order::next_rank(std::span<const queued_request> queue) const
{
    // The rank with the largest credit was starved for the longest; ranks that are owed nothing
    // compare by their order alone.
    const auto key = [this](const queued_request& entry) {
        const double credit = floor_.owed(entry.rank_) > 0 ? floor_.credit(entry.rank_) : 0.0;
        return std::pair(-credit, entry.rank_);
    };
    return std::ranges::min_element(queue, {}, key)->rank_;
}

duration admission_order::run_time_before(const queued_request& added,
                                          std::span<const queued_request> queue) const
{
    const std::vector<bool> owed_first = owed(queue);
    const bool added_owed = is_owed(added, queue);
    duration total{};
    for (std::size_t i = 0; i < queue.size(); ++i)
    {
        const queued_request& entry = queue[i];
        const bool before = entry.rank_ == added.rank_    ? entry.deadline_ <= added.deadline_
                            : owed_first[i] != added_owed ? owed_first[i]
                                                          : entry.rank_ < added.rank_;
        total += before ? entry.expected_run_time_ : duration::zero();
    }
    return total;
}

std::vector<bool> admission_order::owed(std::span<const queued_request> queue) const
{
    rank_map<std::int64_t> seen;
    std::vector<bool> result(queue.size());
    for (std::size_t i = 0; i < queue.size(); ++i)
    {
        result[i] = seen.use(queue[i].rank_)++ < floor_.owed(queue[i].rank_);
    }
    return result;
}

bool admission_order::is_owed(const queued_request& added,
                              std::span<const queued_request> queue) const
{
    const auto before = std::ranges::count(queue, added.rank_, &queued_request::rank_);
    const fair_share* const shares = shares_.find(added.rank_);
    const bool ahead = shares != nullptr && shares->is_ahead(added.organisation_);
    return floor_.owed(added.rank_, ahead ? credit_for_others : 0.0) > before;
}

void admission_order::record_demand(const queued_request& request, instant now)
{
    floor_.record_demand(request, now);
}

void admission_order::record_service(const queued_request& request)
{
    shares_.use(request.rank_).record(request.organisation_, request.share_);
}

void admission_order::record_grant(const queued_request& request,
                                   std::span<const queued_request> queue, instant now)
{
    floor_.record_grant(request, queue, now);
    record_service(request);
}

} // namespace bamboohoist
