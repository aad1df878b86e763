#include "daemon/target_registry.hpp"

#include <cmath>

namespace bamboohoist {

namespace {

constexpr duration expiry_period = std::chrono::milliseconds(500);
constexpr double percent = 100.0;

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
    if (found == targets_.end())
    {
        entry added;
        added.target_ = target;
        added.renewed_ = context_.clock_.now();
        added.stopped_ = all_stopped_;
        targets_.emplace(target.id_, std::move(added));
        tell(target.id_, "target announced", "announcement",
             "slots " + std::to_string(target.slots_) + ", incarnation " + target.incarnation_);
        on_change_();
        return;
    }
    entry& known = found->second;
    known.renewed_ = context_.clock_.now();
    if (known.target_ == target)
    {
        return;
    }
    const bool restarted = known.target_.incarnation_ != target.incarnation_;
    const bool leaves = target.leaving_ && !known.target_.leaving_;
    if (restarted)
    {
        known.weight_ = 1.0;
        known.stopped_ = all_stopped_;
    }
    known.target_ = target;
    tell(target.id_,
         restarted ? "target restarted"
         : leaves  ? "target leaving"
                   : "target changed",
         "announcement", "incarnation " + target.incarnation_);
    on_change_();
}

void target_registry::withdraw(std::string_view id, std::string_view why)
{
    const auto found = targets_.find(id);
    if (found != targets_.end())
    {
        tell(id, "target gone", why, "");
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
        tell(id, stopped ? "target stopped" : "target resumed", "stop plan", why);
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
        tell(id, "target stopped", "node leaves", why);
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
    if (weight == 0.0)
    {
        context_.metrics_.add(counter::ejections);
        tell(id, "target ejected", rule, evidence);
    }
    else if (before == 0.0)
    {
        context_.metrics_.add(counter::returns);
        tell(id, "target returns", rule, evidence);
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

bool target_registry::stopped(std::string_view id) const
{
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.stopped_;
}

std::vector<local_target> target_registry::local() const
{
    std::vector<local_target> targets;
    for (const auto& [id, entry] : targets_)
    {
        targets.push_back(entry.target_);
        targets.back().leaving_ |= entry.stopped_;
    }
    return targets;
}

std::vector<target_record> target_registry::records() const
{
    std::vector<target_record> records;
    for (const auto& [id, entry] : targets_)
    {
        const auto weight = static_cast<std::uint8_t>(std::lround(entry.weight_ * percent));
        records.push_back(target_record{id, entry.target_.service_, entry.target_.slots_,
                                        entry.target_.leaving_ || entry.stopped_,
                                        entry.stop_wanted_, weight});
    }
    return records;
}

void target_registry::expire()
{
    const instant now = context_.clock_.now();
    std::vector<std::string> lapsed;
    for (const auto& [id, entry] : targets_)
    {
        if (now - entry.renewed_ > announcement_lease)
        {
            lapsed.push_back(id);
        }
    }
    for (const std::string& id : lapsed)
    {
        withdraw(id, "announcement was not renewed");
    }
}

void target_registry::tell(std::string_view id, std::string_view what, std::string_view rule,
                           std::string_view evidence)
{
    event entry;
    entry.subject_ = std::string(id);
    entry.what_ = std::string(what);
    entry.rule_ = std::string(rule);
    entry.evidence_ = std::string(evidence);
    context_.record(std::move(entry));
}

} // namespace bamboohoist
