#ifndef BAMBOOHOIST_POLICY_RANK_MAP_HPP
#define BAMBOOHOIST_POLICY_RANK_MAP_HPP

#include "policy/request_rank.hpp"

#include <algorithm>
#include <span>
#include <vector>

namespace bamboohoist {

/// Values for the ranks that one target has served lately. Bounded: beyond `max_ranks` the rank
/// that was not used for the longest time is replaced. The services of a deployment have a few
/// ranks each; the bound is for callers or manifests that use many.
template <typename Value>
class rank_map
{
public:
    struct entry
    {
        request_rank rank_;
        Value value_{};
        std::uint64_t used_ = 0; ///< Position of the latest use in the sequence of uses.
    };

    static constexpr std::size_t max_ranks = 16;

    /// The value of a rank; nullptr when there is none.
    const Value* find(const request_rank& rank) const
    {
        const auto found = std::ranges::find(entries_, rank, &entry::rank_);
        return found == entries_.end() ? nullptr : &found->value_;
    }

    /// The value of a rank, made if there is none. This counts as a use of the rank.
    Value& use(const request_rank& rank)
    {
        auto found = std::ranges::find(entries_, rank, &entry::rank_);
        if (found == entries_.end())
        {
            if (entries_.size() == max_ranks)
            {
                entries_.erase(std::ranges::min_element(entries_, {}, &entry::used_));
            }
            found = entries_.insert(entries_.end(), entry{rank});
        }
        found->used_ = ++uses_;
        return found->value_;
    }

    std::span<const entry> entries() const
    {
        return entries_;
    }

    std::span<entry> entries()
    {
        return entries_;
    }

private:
    std::vector<entry> entries_;
    std::uint64_t uses_ = 0;
};

} // namespace bamboohoist

#endif
