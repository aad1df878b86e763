#include "policy/fair_share.hpp"

#include <algorithm>
#include <vector>

namespace bamboohoist {

namespace {

constexpr std::size_t max_tracked_organisations = 256;
constexpr double min_share = 0.001;

} // namespace

double fair_share::received(std::uint64_t organisation) const
{
    const auto found = served_.find(organisation);
    return found == served_.end() ? virtual_time_ : std::max(found->second, virtual_time_);
}

bool fair_share::is_ahead(std::uint64_t organisation) const
{
    return received(organisation) > virtual_time_;
}

void fair_share::record(std::uint64_t organisation, double share)
{
    const double start = received(organisation);
    served_[organisation] = start + weighted_slot(share);
    virtual_time_ = start;
    if (served_.size() > max_tracked_organisations)
    {
        std::erase_if(served_, [this](const auto& pair) { return pair.second <= virtual_time_; });
    }
    if (served_.size() > max_tracked_organisations)
    {
        forget_least_served();
    }
}

void fair_share::forget_least_served()
{
    std::vector<double> received;
    for (const auto& [organisation, service] : served_)
    {
        received.push_back(service);
    }
    const auto middle = received.begin() + static_cast<std::ptrdiff_t>(received.size() / 2);
    std::ranges::nth_element(received, middle);
    // Nobody gains by being forgotten: all of them count as served up to this time.
    virtual_time_ = std::max(virtual_time_, *middle);
    std::erase_if(served_, [this](const auto& pair) { return pair.second <= virtual_time_; });
}

double fair_share::weighted_slot(double share)
{
    return 1.0 / std::max(min_share, share);
}

} // namespace bamboohoist
