#include "daemon/stop_plans.hpp"

namespace bamboohoist {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(200);
/// The other nodes learn of the wish in this time, before the floor is looked at.
constexpr duration wish_notice = std::chrono::milliseconds(800);

} // namespace

stop_plans::stop_plans(const control_context& context, const membership& members,
                       const configuration& config, target_registry& targets)
    : context_(context), members_(members), config_(config), targets_(targets),
      tick_timer_(context.loop_, [this] { tick(); })
{
}

std::string_view stop_plans::name() const
{
    return "stop-plans";
}

bool stop_plans::start()
{
    tick_timer_.repeat(tick_period);
    return true;
}

void stop_plans::stop()
{
    tick_timer_.cancel();
}

void stop_plans::order(std::string_view target, bool resume, const day_note& note)
{
    if (resume)
    {
        orders_.erase(std::string(target));
    }
    else
    {
        orders_.insert_or_assign(std::string(target),
                                 order_entry{note, targets_.incarnation(target)});
    }
    tick();
}

void stop_plans::tick()
{
    std::erase_if(orders_, [this](const auto& pair) {
        return !targets_.contains(pair.first) ||
               targets_.incarnation(pair.first) != pair.second.incarnation_;
    });
    for (const target_record& target : targets_.records())
    {
        consider(target);
    }
    std::erase_if(wishes_, [this](const auto& pair) { return !targets_.contains(pair.first); });
}

void stop_plans::consider(const target_record& target)
{
    const auto ordered = orders_.find(target.id_);
    const stop_plan* plan = config_.active()
                                ? plan_for(config_.active()->manifest_->stop_plans_, target,
                                           context_.settings_.node_, context_.clock_.wall_ms())
                                : nullptr;
    const auto known = wishes_.find(target.id_);
    if (ordered == orders_.end() && plan == nullptr)
    {
        if (known != wishes_.end())
        {
            end(target);
        }
        return;
    }
    if (known == wishes_.end())
    {
        wish added;
        added.rule_ = plan != nullptr ? "stop plan " + plan->name_ : "operator's drain";
        added.note_ = plan != nullptr ? plan->note_ : ordered->second.note_;
        begin(target, std::move(added));
        return;
    }
    if (!targets_.stopped(target.id_))
    {
        try_stop(target, known->second);
    }
}

void stop_plans::begin(const target_record& target, wish added)
{
    added.since_ = context_.clock_.now();
    tell(target.id_, "stop wanted", added, "");
    wishes_.emplace(target.id_, std::move(added));
    targets_.set_stop_wanted(target.id_, true);
}

void stop_plans::end(const target_record& target)
{
    const auto found = wishes_.find(target.id_);
    tell(target.id_, "stop over", found->second, "");
    const std::string rule = found->second.rule_;
    wishes_.erase(found);
    targets_.set_stop_wanted(target.id_, false);
    targets_.set_stopped(target.id_, false, rule);
}

void stop_plans::try_stop(const target_record& target, wish& wanted)
{
    if (context_.clock_.now() - wanted.since_ < wish_notice)
    {
        return;
    }
    const auto service =
        config_.active() ? config_.active()->routes_.service(target.service_) : std::nullopt;
    stop_permission permission{true, "the service is not declared"};
    if (service)
    {
        std::vector<const member_record*> members = members_.table().peers();
        members.push_back(&members_.table().self());
        permission = may_stop(target, config_.active()->manifest_->services_[*service], members);
    }
    if (permission.allowed_)
    {
        tell(target.id_, "stops", wanted, permission.why_);
        targets_.set_stopped(target.id_, true, wanted.rule_);
    }
    else if (wanted.last_refusal_ != permission.why_)
    {
        wanted.last_refusal_ = permission.why_;
        tell(target.id_, "stop waits for the floor", wanted, permission.why_);
    }
}

void stop_plans::tell(std::string_view target, std::string_view what, const wish& wanted,
                      std::string_view evidence)
{
    event entry;
    entry.subject_ = std::string(target);
    entry.what_ = std::string(what);
    entry.rule_ = wanted.rule_;
    entry.evidence_ = std::string(evidence);
    entry.revision_ = config_.in_force();
    entry.note_ = wanted.note_.who_ + ": " + wanted.note_.why_;
    context_.record(std::move(entry));
}

} // namespace bamboohoist
