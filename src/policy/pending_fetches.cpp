#include "policy/pending_fetches.hpp"

#include <algorithm>
#include <utility>

namespace bamboohoist {

namespace {

/// A peer that delivers does so within a few round trips between regions.
constexpr duration patience = std::chrono::milliseconds(300);
constexpr std::size_t max_pending = 3;
constexpr duration failed_pause = std::chrono::seconds(2);

} // namespace

bool pending_fetches::begin_from_store(instant now)
{
    if (store_begun_)
    {
        return false;
    }
    store_begun_ = now;
    return true;
}

bool pending_fetches::begin_from_peer(std::string_view peer, instant now)
{
    std::erase_if(failed_,
                  [now](const peer_time& entry) { return now - entry.at_ >= failed_pause; });
    const bool pending = std::ranges::find(begun_, peer, &peer_time::peer_) != begun_.end();
    const bool failed = std::ranges::find(failed_, peer, &peer_time::peer_) != failed_.end();
    const bool too_many = begun_.size() >= max_pending;
    const bool too_early = !begun_.empty() && now - begun_.back().at_ < patience;
    if (pending || failed || too_many || too_early)
    {
        return false;
    }
    begun_.push_back({std::string(peer), now});
    return true;
}

std::optional<instant> pending_fetches::end_from_store()
{
    return std::exchange(store_begun_, std::nullopt);
}

std::optional<instant> pending_fetches::end_from_peer(std::string_view peer, bool delivered,
                                                      instant now)
{
    const auto found = std::ranges::find(begun_, peer, &peer_time::peer_);
    if (found == begun_.end())
    {
        return std::nullopt;
    }
    const instant begun = found->at_;
    begun_.erase(found);
    if (!delivered)
    {
        failed_.push_back({std::string(peer), now});
    }
    return begun;
}

bool pending_fetches::store_pending() const
{
    return store_begun_.has_value();
}

} // namespace bamboohoist
