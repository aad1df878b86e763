#include "policy/claim_shard.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

bool claim_record::may_be_followed_by(const claim_record& next) const
{
    switch (state_)
    {
    case claim_state::running:
        // Either this attempt ends, or the same request starts a later attempt on another target
        // after this one was not run. A late end of the earlier attempt is then refused.
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
            insert_sealed(record);
            summary.last_expiry_ms_ = std::max(summary.last_expiry_ms_, record.expires_ms_);
        }
    }
    open_ = generation;
    open_index_ = index;
    open_records_.clear();
    for (const claim_record& record : generation.records_)
    {
        open_records_.insert_or_assign(record.key_, record);
    }
}

const claim_record* claim_shard::find(std::string_view key, std::int64_t now_ms) const
{
    const std::string text(key);
    const auto in_open = open_records_.find(text);
    const claim_record* found = nullptr;
    if (in_open != open_records_.end())
    {
        found = &in_open->second;
    }
    else if (const auto in_sealed = sealed_records_.find(text); in_sealed != sealed_records_.end())
    {
        found = &in_sealed->second;
    }
    return found != nullptr && found->expires_ms_ > now_ms ? found : nullptr;
}

claim_generation claim_shard::extend_open_generation(std::span<const claim_record> requested,
                                                     std::int64_t now_ms,
                                                     std::vector<claim_result>& results) const
{
    claim_generation extended = open_;
    std::unordered_map<std::string_view, const claim_record*> added;
    results.clear();
    for (const claim_record& next : requested)
    {
        const auto earlier = added.find(next.key_);
        const claim_record* current =
            earlier != added.end() ? earlier->second : find(next.key_, now_ms);
        // Without an entry only a new claim is allowed: an end without its claim comes too late.
        const bool is_allowed = current == nullptr ? next.state_ == claim_state::running
                                                   : current->may_be_followed_by(next);
        const bool is_repeated = current != nullptr && current->is_same_step(next);
        results.push_back(is_allowed || is_repeated ? claim_result::accepted
                                                    : claim_result::refused);
        if (is_allowed && !is_repeated)
        {
            extended.records_.push_back(next);
            added.insert_or_assign(next.key_, &next);
        }
    }
    return extended;
}

bool claim_shard::contains(const claim_record& requested, std::int64_t now_ms) const
{
    const claim_record* current = find(requested.key_, now_ms);
    return current != nullptr && current->is_same_step(requested);
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
    open_records_.clear();
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
    std::erase_if(sealed_records_,
                  [limit_ms](const auto& pair) { return pair.second.expires_ms_ <= limit_ms; });
}

std::size_t claim_shard::size() const
{
    return sealed_records_.size() + open_records_.size();
}

void claim_shard::insert_sealed(const claim_record& record)
{
    sealed_records_.insert_or_assign(record.key_, record);
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
