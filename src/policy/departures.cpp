#include "policy/departures.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// How long departures are remembered: announcements that a partition has delayed arrive within
/// this time.
constexpr duration retention = std::chrono::minutes(5);
/// How far the clocks of an instance and its node may differ.
constexpr std::int64_t clock_tolerance_ms = 3000;
/// A start proves itself by so many announcements, each sent after the one before, over this time.
constexpr std::size_t proving_announcements = 3;
constexpr duration proving_time = std::chrono::seconds(2);
/// Where the clocks say that a start is one from before the end, announcements count only when they
/// arrive later than this after it: longer than they are delayed as a rule.
constexpr duration late_announcement_time = std::chrono::seconds(10);
/// A start that began before this node's process has announced itself after this time, two
/// heartbeats.
constexpr duration hearing_time = std::chrono::seconds(3);

/// True when `known` says all that `departed` says.
bool covers(const departed_instance& known, const departed_instance& departed)
{
    return known.instance_ == departed.instance_ && known.started_ms_ >= departed.started_ms_ &&
           known.latest_start_ms_ >= departed.latest_start_ms_ && known.ended_ >= departed.ended_;
}

} // namespace

void departures::add(departed_instance departed, instant now)
{
    insert({std::move(departed), now, false, false, {}, {}});
}

void departures::restore(departed_instance departed, instant now)
{
    insert({std::move(departed), now, true, false, {}, {}});
}

void departures::insert(record added)
{
    departed_instance& departed = added.departed_;
    for (const record& known : records_)
    {
        if (known.departed_.instance_ == departed.instance_ &&
            known.departed_.started_ms_ == departed.started_ms_)
        {
            departed.sequence_ = std::max(departed.sequence_, known.departed_.sequence_);
        }
    }
    std::erase_if(records_, [&](const record& known) { return covers(departed, known.departed_); });
    records_.push_back(std::move(added));
}

bool departures::rules_out(const local_target& announced, instant now)
{
    bool ruled_out = false;
    for (record& known : records_)
    {
        if (announced.instance_.empty() || announced.instance_ != known.departed_.instance_)
        {
            continue;
        }
        // Each record gets to know of the announcement.
        const bool precedes_it = rules_out(known, announced, now);
        known.followed_ |= !precedes_it && announced.started_ms_ > known.departed_.started_ms_;
        ruled_out |= precedes_it;
    }
    return ruled_out;
}

bool departures::rules_out(record& known, const local_target& announced, instant now)
{
    const departed_instance& departed = known.departed_;
    if (departed.latest_start_ms_ == 0)
    {
        return precedes(announced, departed);
    }
    if (departed.started_ms_ != 0 && announced.started_ms_ <= departed.started_ms_)
    {
        return true;
    }
    return announced.started_ms_ <= departed.latest_start_ms_ + clock_tolerance_ms &&
           !proves_itself(known, announced, now);
}

bool departures::proves_itself(record& known, const local_target& announced, instant now)
{
    if (known.proven_ms_ && announced.started_ms_ <= *known.proven_ms_)
    {
        return announced.started_ms_ == *known.proven_ms_;
    }
    if (!known.unproven_ || announced.started_ms_ > known.unproven_->started_ms_)
    {
        known.unproven_ = unproven_start{announced.started_ms_, 0, 0, now};
    }
    unproven_start& start = *known.unproven_;
    const bool earlier_by_clock =
        announced.started_ms_ + clock_tolerance_ms < known.departed_.latest_start_ms_;
    if (announced.started_ms_ < start.started_ms_ || announced.sequence_ <= start.sequence_ ||
        (earlier_by_clock && now - known.at_ < late_announcement_time))
    {
        return false;
    }
    start.first_at_ = start.announcements_ == 0 ? now : start.first_at_;
    start.sequence_ = announced.sequence_;
    ++start.announcements_;
    if (start.announcements_ < proving_announcements || now - start.first_at_ < proving_time)
    {
        return false;
    }
    known.proven_ms_ = announced.started_ms_;
    known.unproven_.reset();
    return true;
}

std::optional<departed_instance>
departures::find_same_end(std::string_view instance, std::int64_t started_ms, instant now) const
{
    const auto same = std::ranges::find_if(records_, [&](const record& known) {
        const bool would_be_heard = !known.restored_ || now - known.at_ > hearing_time;
        return known.departed_.instance_ == instance && known.departed_.ended_ &&
               known.departed_.started_ms_ >= started_ms && !known.followed_ && would_be_heard;
    });
    return same == records_.end() ? std::nullopt : std::optional(same->departed_);
}

std::int64_t departures::latest_unproven_start(std::string_view instance) const
{
    std::int64_t latest_ms = 0;
    for (const record& known : records_)
    {
        if (known.departed_.instance_ == instance && known.unproven_)
        {
            latest_ms = std::max(latest_ms, known.unproven_->started_ms_);
        }
    }
    return latest_ms;
}

void departures::forget_old(instant now)
{
    std::erase_if(records_, [&](const record& known) { return now - known.at_ > retention; });
}

} // namespace bamboohoist
