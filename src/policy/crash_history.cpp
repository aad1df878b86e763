#include "policy/crash_history.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr std::size_t crashes_to_quarantine = 2;

} // namespace

crash_history::crash_history(std::size_t capacity, duration retention)
    : capacity_(capacity), retention_(retention)
{
}

std::vector<std::uint64_t> crash_history::record_crash(std::string_view crash_id,
                                                       std::span<const std::uint64_t> fingerprints,
                                                       instant now)
{
    std::vector<std::uint64_t> quarantined;
    const std::uint64_t crash_hash = hash_text(crash_id);
    for (const std::uint64_t fingerprint : fingerprints)
    {
        if (!entries_.contains(fingerprint))
        {
            evict_if_full(now);
        }
        entry& suspect = entries_[fingerprint];
        if (std::ranges::find(suspect.crashes_, crash_hash) != suspect.crashes_.end())
        {
            continue;
        }
        suspect.last_crash_at_ = now;
        if (suspect.crashes_.size() < crashes_to_quarantine)
        {
            suspect.crashes_.push_back(crash_hash);
            if (suspect.crashes_.size() == crashes_to_quarantine)
            {
                quarantined.push_back(fingerprint);
            }
        }
    }
    return quarantined;
}

crash_decision crash_history::evaluate(std::uint64_t fingerprint, instant now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || now - found->second.last_crash_at_ > retention_)
    {
        return crash_decision::run;
    }
    return found->second.crashes_.size() >= crashes_to_quarantine ? crash_decision::refuse
                                                                  : crash_decision::isolate;
}

void crash_history::clear_suspect(std::uint64_t fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && found->second.crashes_.size() < crashes_to_quarantine)
    {
        entries_.erase(found);
    }
}

void crash_history::release(std::uint64_t fingerprint)
{
    entries_.erase(fingerprint);
}

std::size_t crash_history::size() const
{
    return entries_.size();
}

void crash_history::evict_if_full(instant now)
{
    if (entries_.size() < capacity_)
    {
        return;
    }
    std::erase_if(entries_,
                  [&](const auto& pair) { return now - pair.second.last_crash_at_ > retention_; });
    if (entries_.size() >= capacity_)
    {
        const auto oldest = std::ranges::min_element(
            entries_, {}, [](const auto& pair) { return pair.second.last_crash_at_; });
        entries_.erase(oldest);
    }
}

std::uint64_t fingerprint_of(std::string_view service, std::string_view method,
                             std::string_view target, std::string_view body)
{
    return hash_parts({service, method, target, body});
}

} // namespace bamboohoist
