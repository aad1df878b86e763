#include "daemon/target_registry.hpp"

#include "policy/health_weight.hpp"

#include <algorithm>
#include <cmath>

namespace bamboohoist {

namespace {

constexpr duration expiry_period = std::chrono::milliseconds(500);
/// A target that has announced itself within this time, two heartbeats, has not started again
/// since.
constexpr duration recent_time = std::chrono::seconds(3);

} // namespace

target_registry::target_registry(const control_context& context, listener on_change)
    : context_(context), on_change_(std::move(on_change)),
      expiry_timer_(context.loop_, [this] { expire(); })
{
}

std::string_view target_registry::name() const
{
    return "target-registry";
}

bool target_registry::start()
{
    expiry_timer_.repeat(expiry_period);
    return true;
}

void target_registry::stop()
{
    expiry_timer_.cancel();
}

void target_registry::announce(local_target target)
{
    context_.metrics_.add(counter::announcements);
    const auto found = targets_.find(target.id_);
    const bool known = found != targets_.end();
    const instant now = context_.clock_.now();
    const bool late =
        departures_.rules_out(target, now) || (known && is_stale(target, found->second.target_));
    if (target.leaving_ && !target.instance_.empty())
    {
        // Also of a start that is not in use yet: its leaving is acknowledged.
        departures_.add({target.instance_, target.started_ms_, target.sequence_}, now);
    }
    if (late || (!known && !resolve_address_conflict(target)))
    {
        context_.metrics_.add(counter::announcements_stale);
        return;
    }
    if (!known)
    {
        add(std::move(target));
        return;
    }
    found->second.renewed_ = now;
    if (same_announcement(found->second.target_, target))
    {
        found->second.target_.sequence_ = target.sequence_;
        return;
    }
    replace(found->second, std::move(target));
}

void target_registry::add(local_target target)
{
    const std::string id = target.id_;
    entry added;
    added.target_ = std::move(target);
    added.renewed_ = context_.clock_.now();
    added.stopped_ = all_stopped_;
    record_event(id, "target announced", "announcement",
                 "slots " + std::to_string(added.target_.slots_) + ", incarnation " +
                     added.target_.incarnation_);
    targets_.emplace(id, std::move(added));
    on_change_();
}

void target_registry::replace(entry& known, local_target target)
{
    const bool restarted = known.target_.incarnation_ != target.incarnation_;
    const bool leaves = target.leaving_ && !known.target_.leaving_;
    if (restarted)
    {
        known.weight_ = 1.0;
        known.stopped_ = all_stopped_;
    }
    known.target_ = std::move(target);
    record_event(known.target_.id_,
                 restarted ? "target restarted"
                 : leaves  ? "target leaving"
                           : "target changed",
                 "announcement", "incarnation " + known.target_.incarnation_);
    on_change_();
}

bool target_registry::resolve_address_conflict(const local_target& target)
{
    std::vector<std::string> replaced;
    for (const auto& [id, entry] : targets_)
    {
        if (entry.target_.address_ != target.address_)
        {
            continue;
        }
        if (target.started_ms_ < entry.target_.started_ms_)
        {
            return false;
        }
        replaced.push_back(id);
    }
    for (const std::string& id : replaced)
    {
        remove(id, "another target has started at its address");
    }
    return true;
}

ended_target target_registry::deregister(const local_target& target)
{
    const entry* known = nullptr;
    for (const auto& [id, entry] : targets_)
    {
        const bool named = !target.instance_.empty() && entry.target_.instance_ == target.instance_;
        if (named && (target.started_ms_ == 0 || entry.target_.started_ms_ <= target.started_ms_))
        {
            known = &entry;
        }
    }
    ended_target ended = describe_end(target, known);
    if (!ended.departed_.instance_.empty())
    {
        departures_.add(ended.departed_, context_.clock_.now());
    }
    if (ended.departed_.latest_start_ms_ != 0)
    {
        record_event("instance " + target.instance_, "target ended", "announced its end",
                     "its start is not known: later than " +
                         std::to_string(ended.departed_.started_ms_) + ", up to " +
                         std::to_string(ended.departed_.latest_start_ms_));
    }
    remove(std::string(known != nullptr ? known->target_.id_ : target.id_), "announced its end");
    return ended;
}

ended_target target_registry::describe_end(const local_target& target, const entry* known) const
{
    ended_target ended;
    departed_instance& departed = ended.departed_;
    departed.instance_ = target.instance_;
    departed.started_ms_ = target.started_ms_;
    departed.ended_ = true;
    if (known != nullptr)
    {
        departed.started_ms_ = std::max(target.started_ms_, known->target_.started_ms_);
        departed.sequence_ = known->target_.sequence_;
        ended.was_leaving_ = known->target_.leaving_;
    }
    const bool recent = known != nullptr && context_.clock_.now() - known->renewed_ <= recent_time;
    if (target.started_ms_ != 0 || target.instance_.empty() || recent || ended.was_leaving_)
    {
        return ended;
    }
    departed.started_ms_ =
        std::max(departed.started_ms_, departures_.latest_unproven_start(target.instance_));
    departed.latest_start_ms_ = context_.clock_.wall_ms();
    // An end that is announced again needs no further note.
    const auto same =
        departures_.find_same_end(target.instance_, departed.started_ms_, context_.clock_.now());
    ended.departed_ = same.value_or(departed);
    return ended;
}

void target_registry::restore_departure(const departed_instance& departed)
{
    const instant now = context_.clock_.now();
    departures_.restore(departed, now);
    std::vector<std::string> departed_ids;
    for (const auto& [id, entry] : targets_)
    {
        if (departures_.rules_out(entry.target_, now))
        {
            departed_ids.push_back(id);
        }
    }
    for (const std::string& id : departed_ids)
    {
        remove(id, "had left before the node's start");
    }
}

duration target_registry::announcement_lease() const
{
    return std::chrono::milliseconds(context_.settings_.announcement_lease_ms_);
}

void target_registry::remove(std::string_view id, std::string_view why)
{
    const auto found = targets_.find(id);
    if (found != targets_.end())
    {
        record_event(id, "target gone", why, "");
        targets_.erase(found);
        on_change_();
    }
}

void target_registry::set_stopped(std::string_view id, bool stopped, std::string_view why)
{
    const auto found = targets_.find(id);
    if (found != targets_.end() && found->second.stopped_ != stopped)
    {
        found->second.stopped_ = stopped;
        record_event(id, stopped ? "target stopped" : "target resumed", "stop plan", why);
        on_change_();
    }
}

void target_registry::set_stop_wanted(std::string_view id, bool wanted)
{
    const auto found = targets_.find(id);
    if (found != targets_.end() && found->second.stop_wanted_ != wanted)
    {
        found->second.stop_wanted_ = wanted;
        on_change_();
    }
}

void target_registry::stop_all(std::string_view why)
{
    all_stopped_ = true;
    for (auto& [id, entry] : targets_)
    {
        entry.stopped_ = true;
        record_event(id, "target stopped", "node leaves", why);
    }
    on_change_();
}

void target_registry::set_weight(std::string_view id, double weight, std::string_view rule,
                                 std::string_view evidence)
{
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second.weight_ == weight)
    {
        return;
    }
    const double before = found->second.weight_;
    found->second.weight_ = weight;
    if (is_ejected_weight(weight))
    {
        context_.metrics_.add(counter::ejections);
        record_event(id, "target ejected", rule, evidence);
    }
    else if (is_ejected_weight(before))
    {
        context_.metrics_.add(counter::target_returns);
        record_event(id, "target returns", rule, evidence);
    }
    on_change_();
}

bool target_registry::contains(std::string_view id) const
{
    return targets_.contains(id);
}

std::string target_registry::incarnation(std::string_view id) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? std::string() : found->second.target_.incarnation_;
}

bool target_registry::is_stopped(std::string_view id) const
{
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.stopped_;
}

std::vector<local_target> target_registry::local_targets() const
{
    std::vector<local_target> targets;
    for (const auto& [id, entry] : targets_)
    {
        targets.push_back(entry.target_);
        targets.back().leaving_ |= entry.stopped_;
    }
    return targets;
}

std::vector<target_record> target_registry::target_records() const
{
    std::vector<target_record> records;
    for (const auto& [id, entry] : targets_)
    {
        const auto weight = static_cast<std::uint8_t>(std::lround(entry.weight_ * weight_percent));
        records.push_back(target_record{id, entry.target_.service_, entry.target_.slots_,
                                        entry.target_.leaving_ || entry.stopped_,
                                        entry.stop_wanted_, weight});
    }
    return records;
}

void target_registry::expire()
{
    const instant now = context_.clock_.now();
    departures_.forget_old(now);
    std::vector<std::string> expired;
    for (const auto& [id, entry] : targets_)
    {
        if (now - entry.renewed_ > announcement_lease())
        {
            expired.push_back(id);
        }
    }
    for (const std::string& id : expired)
    {
        remove(id, "announcement was not renewed");
    }
}

void target_registry::record_event(std::string_view id, std::string_view what,
                                   std::string_view rule, std::string_view evidence)
{
    event entry;
    entry.subject_ = std::string(id);
    entry.what_ = std::string(what);
    entry.rule_ = std::string(rule);
    entry.evidence_ = std::string(evidence);
    context_.record(std::move(entry));
}

} // namespace bamboohoist
