#include "policy/claim_shard.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

bool claim_record::may_be_followed_by(const claim_record& next) const
{
    switch (state_)
    {
    case claim_state::running:
        // The attempt itself ends, or the same request goes on elsewhere after a "not run". A late
        // end of the former attempt then no longer counts.
        return owner_ == next.owner_ &&
               (next.state_ == claim_state::running ? next.attempt_ > attempt_
                                                    : next.attempt_ == attempt_);
    case claim_state::released:
        return next.state_ == claim_state::running &&
               (owner_ != next.owner_ || next.attempt_ > attempt_);
    case claim_state::done:
        return false;
    }
    return false;
}

bool claim_record::is_same_step(const claim_record& other) const
{
    return owner_ == other.owner_ && attempt_ == other.attempt_ && state_ == other.state_;
}

void claim_shard::load(const claim_generation& generation, std::uint64_t index)
{
    if (generation.sealed_)
    {
        sealed_summary& summary = sealed_[generation.number_];
        for (const claim_record& record : generation.records_)
        {
            enter(record);
            summary.last_expiry_ms_ = std::max(summary.last_expiry_ms_, record.expires_ms_);
        }
    }
    open_ = generation;
    open_index_ = index;
    in_open_.clear();
    for (const claim_record& record : generation.records_)
    {
        in_open_.insert_or_assign(record.key_, record);
    }
}

const claim_record* claim_shard::find(std::string_view key, std::int64_t now_ms) const
{
    const std::string text(key);
    const auto open_generation = in_open_.find(text);
    const claim_record* found = nullptr;
    if (open_generation != in_open_.end())
    {
        found = &open_generation->second;
    }
    else if (const auto older = newest_.find(text); older != newest_.end())
    {
        found = &older->second;
    }
    return found != nullptr && found->expires_ms_ > now_ms ? found : nullptr;
}

claim_generation claim_shard::extend_open_generation(std::span<const claim_record> wanted,
                                                     std::int64_t now_ms,
                                                     std::vector<claim_result>& verdicts) const
{
    claim_generation extended = open_;
    std::unordered_map<std::string_view, const claim_record*> added;
    verdicts.clear();
    for (const claim_record& next : wanted)
    {
        const auto earlier = added.find(next.key_);
        const claim_record* present =
            earlier != added.end() ? earlier->second : find(next.key_, now_ms);
        // Without an entry only a claim may be made: an end without a claim has lost its place.
        const bool fits = present == nullptr ? next.state_ == claim_state::running
                                             : present->may_be_followed_by(next);
        const bool repeated = present != nullptr && present->is_same_step(next);
        verdicts.push_back(fits || repeated ? claim_result::accepted : claim_result::refused);
        if (fits && !repeated)
        {
            extended.records_.push_back(next);
            added.insert_or_assign(next.key_, &next);
        }
    }
    return extended;
}

bool claim_shard::contains(const claim_record& wanted, std::int64_t now_ms) const
{
    const claim_record* present = find(wanted.key_, now_ms);
    return present != nullptr && present->is_same_step(wanted);
}

const claim_generation& claim_shard::open_generation() const
{
    return open_;
}

std::uint64_t claim_shard::open_index() const
{
    return open_index_;
}

void claim_shard::start_next_generation()
{
    claim_generation next;
    next.number_ = open_.number_ + 1;
    open_ = next;
    open_index_ = 0;
    in_open_.clear();
}

std::vector<std::uint64_t> claim_shard::expired_generations(std::int64_t before_ms) const
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, summary] : sealed_)
    {
        if (summary.last_expiry_ms_ < before_ms)
        {
            numbers.push_back(number);
        }
    }
    std::ranges::sort(numbers);
    return numbers;
}

void claim_shard::remove_generation(std::uint64_t number)
{
    const auto found = sealed_.find(number);
    if (found == sealed_.end())
    {
        return;
    }
    const std::int64_t limit_ms = found->second.last_expiry_ms_;
    sealed_.erase(found);
    std::erase_if(newest_,
                  [limit_ms](const auto& pair) { return pair.second.expires_ms_ <= limit_ms; });
}

std::size_t claim_shard::size() const
{
    return newest_.size() + in_open_.size();
}

void claim_shard::enter(const claim_record& record)
{
    newest_.insert_or_assign(record.key_, record);
}

std::string claim_digest(std::string_view service, std::string_view organisation,
                         std::string_view key)
{
    std::string joined;
    for (const std::string_view part : {service, organisation, key})
    {
        joined += std::to_string(part.size()) + ":" + std::string(part);
    }
    return content_address(joined);
}

std::uint32_t claim_shard_index(std::string_view claim_digest, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(hash_text(claim_digest) % shards);
}

} // namespace bamboohoist
