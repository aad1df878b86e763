#include "policy/crash_history.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr std::size_t crashes_to_quarantine = 2;

} // namespace

crash_history::crash_history(std::size_t capacity, duration memory)
    : capacity_(capacity), memory_(memory)
{
}

std::vector<std::uint64_t> crash_history::record_crash(std::string_view crash,
                                                       std::span<const std::uint64_t> fingerprints,
                                                       instant now)
{
    std::vector<std::uint64_t> quarantined;
    const std::uint64_t name = hash_text(crash);
    for (const std::uint64_t fingerprint : fingerprints)
    {
        if (!entries_.contains(fingerprint))
        {
            make_room(now);
        }
        entry& known = entries_[fingerprint];
        if (std::ranges::find(known.crashes_, name) != known.crashes_.end())
        {
            continue;
        }
        known.last_ = now;
        if (known.crashes_.size() < crashes_to_quarantine)
        {
            known.crashes_.push_back(name);
            if (known.crashes_.size() == crashes_to_quarantine)
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
    if (found == entries_.end() || now - found->second.last_ > memory_)
    {
        return crash_decision::run;
    }
    return found->second.crashes_.size() >= crashes_to_quarantine ? crash_decision::refuse
                                                                  : crash_decision::isolate;
}

void crash_history::clear(std::uint64_t fingerprint)
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

void crash_history::make_room(instant now)
{
    if (entries_.size() < capacity_)
    {
        return;
    }
    std::erase_if(entries_, [&](const auto& pair) { return now - pair.second.last_ > memory_; });
    if (entries_.size() >= capacity_)
    {
        const auto oldest = std::ranges::min_element(
            entries_, {}, [](const auto& pair) { return pair.second.last_; });
        entries_.erase(oldest);
    }
}

std::uint64_t fingerprint_of(std::string_view service, std::string_view method,
                             std::string_view target, std::string_view body)
{
    return hash_parts({service, method, target, body});
}

} // namespace bamboohoist
