#include "daemon/stop_plan_executor.hpp"

namespace bamboohoist {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(200);
/// The other nodes learn of the wish in this time, before the floor is looked at.
constexpr duration wish_notice = std::chrono::milliseconds(800);

} // namespace

stop_plan_executor::stop_plan_executor(const control_context& context, const membership& members,
                                       const configuration& config, target_registry& targets)
    : context_(context), members_(members), config_(config), targets_(targets),
      tick_timer_(context.loop_, [this] { tick(); })
{
}

std::string_view stop_plan_executor::name() const
{
    return "stop-plans";
}

bool stop_plan_executor::start()
{
    tick_timer_.repeat(tick_period);
    return true;
}

void stop_plan_executor::stop()
{
    tick_timer_.cancel();
}

void stop_plan_executor::request(std::string_view target, bool resume, const day_note& note)
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

void stop_plan_executor::tick()
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

void stop_plan_executor::consider(const target_record& target)
{
    const auto ordered = orders_.find(target.id_);
    const stop_plan* plan =
        config_.active() ? find_stop_plan(config_.active()->manifest_->stop_plans_, target,
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
    if (!targets_.is_stopped(target.id_))
    {
        try_stop(target, known->second);
    }
}

void stop_plan_executor::begin(const target_record& target, wish added)
{
    added.since_ = context_.clock_.now();
    record_event(target.id_, "stop wanted", added, "");
    wishes_.emplace(target.id_, std::move(added));
    targets_.set_stop_wanted(target.id_, true);
}

void stop_plan_executor::end(const target_record& target)
{
    const auto found = wishes_.find(target.id_);
    record_event(target.id_, "stop over", found->second, "");
    const std::string rule = found->second.rule_;
    wishes_.erase(found);
    targets_.set_stop_wanted(target.id_, false);
    targets_.set_stopped(target.id_, false, rule);
}

void stop_plan_executor::try_stop(const target_record& target, wish& wanted)
{
    if (context_.clock_.now() - wanted.since_ < wish_notice)
    {
        return;
    }
    const auto service =
        config_.active() ? config_.active()->routes_.service(target.service_) : std::nullopt;
    stop_decision permission{true, "the service is not declared"};
    if (service)
    {
        std::vector<const member_record*> members = members_.table().peers();
        members.push_back(&members_.table().self());
        permission = check_stop(target, config_.active()->manifest_->services_[*service], members);
    }
    if (permission.allowed_)
    {
        record_event(target.id_, "stops", wanted, permission.why_);
        targets_.set_stopped(target.id_, true, wanted.rule_);
    }
    else if (wanted.last_refusal_ != permission.why_)
    {
        wanted.last_refusal_ = permission.why_;
        record_event(target.id_, "stop waits for the floor", wanted, permission.why_);
    }
}

void stop_plan_executor::record_event(std::string_view target, std::string_view what,
                                      const wish& wanted, std::string_view evidence)
{
    event entry;
    entry.subject_ = std::string(target);
    entry.what_ = std::string(what);
    entry.rule_ = wanted.rule_;
    entry.evidence_ = std::string(evidence);
    entry.revision_ = config_.revision_in_force();
    entry.note_ = wanted.note_.who_ + ": " + wanted.note_.why_;
    context_.record(std::move(entry));
}

} // namespace bamboohoist
