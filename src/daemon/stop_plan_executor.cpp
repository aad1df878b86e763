#include "daemon/stop_plan_executor.hpp"

namespace bamboohoist {

namespace {

constexpr duration check_period = std::chrono::milliseconds(200);
/// The other nodes learn of an intent in this time. The floor is checked after it, so that targets
/// of several nodes do not stop together.
constexpr duration intent_notice = std::chrono::milliseconds(800);

} // namespace

stop_plan_executor::stop_plan_executor(const control_context& context, const membership& members,
                                       const configuration& config, target_registry& targets)
    : context_(context), members_(members), config_(config), targets_(targets),
      check_timer_(context.loop_, [this] { check_targets(); })
{
}

std::string_view stop_plan_executor::name() const
{
    return "stop-plans";
}

bool stop_plan_executor::start()
{
    check_timer_.repeat(check_period);
    return true;
}

void stop_plan_executor::stop()
{
    check_timer_.cancel();
}

void stop_plan_executor::request_drain(std::string_view target, bool resume, const day_note& note)
{
    if (resume)
    {
        drain_requests_.erase(std::string(target));
    }
    else
    {
        drain_requests_.insert_or_assign(std::string(target),
                                         drain_request{note, targets_.incarnation(target)});
    }
    check_targets();
}

void stop_plan_executor::check_targets()
{
    std::erase_if(drain_requests_, [this](const auto& pair) {
        return !targets_.contains(pair.first) ||
               targets_.incarnation(pair.first) != pair.second.incarnation_;
    });
    for (const target_record& target : targets_.target_records())
    {
        update_target(target);
    }
    std::erase_if(intents_, [this](const auto& pair) { return !targets_.contains(pair.first); });
}

void stop_plan_executor::update_target(const target_record& target)
{
    const auto requested = drain_requests_.find(target.id_);
    const stop_plan* plan =
        config_.active() ? find_stop_plan(config_.active()->manifest_->stop_plans_, target,
                                          context_.settings_.node_, context_.clock_.wall_ms())
                         : nullptr;
    const auto known = intents_.find(target.id_);
    if (requested == drain_requests_.end() && plan == nullptr)
    {
        if (known != intents_.end())
        {
            remove_intent(target);
        }
        return;
    }
    if (known == intents_.end())
    {
        stop_intent added;
        added.rule_ = plan != nullptr ? "stop plan " + plan->name_ : "operator's drain";
        added.note_ = plan != nullptr ? plan->note_ : requested->second.note_;
        add_intent(target, std::move(added));
        return;
    }
    if (!targets_.is_stopped(target.id_))
    {
        try_stop(target, known->second);
    }
}

void stop_plan_executor::add_intent(const target_record& target, stop_intent added)
{
    added.since_ = context_.clock_.now();
    record_event(target.id_, "stop wanted", added, "");
    intents_.emplace(target.id_, std::move(added));
    targets_.set_stop_wanted(target.id_, true);
}

void stop_plan_executor::remove_intent(const target_record& target)
{
    const auto found = intents_.find(target.id_);
    record_event(target.id_, "stop over", found->second, "");
    const std::string rule = found->second.rule_;
    intents_.erase(found);
    targets_.set_stop_wanted(target.id_, false);
    targets_.set_stopped(target.id_, false, rule);
}

void stop_plan_executor::try_stop(const target_record& target, stop_intent& intent)
{
    // Without knowing the fleet neither its slots nor the other targets that are to stop are known.
    if (!members_.knows_fleet() || context_.clock_.now() - intent.since_ < intent_notice)
    {
        return;
    }
    const auto service =
        config_.active() ? config_.active()->routes_.find_service(target.service_) : std::nullopt;
    stop_decision decision{true, "the service is not declared in the manifest"};
    if (service)
    {
        std::vector<const member_record*> members = members_.table().peers();
        members.push_back(&members_.table().self());
        decision = check_stop(target, config_.active()->manifest_->services_[*service], members);
    }
    if (decision.allowed_)
    {
        record_event(target.id_, "stops", intent, decision.reason_);
        targets_.set_stopped(target.id_, true, intent.rule_);
    }
    else if (intent.last_refusal_ != decision.reason_)
    {
        intent.last_refusal_ = decision.reason_;
        record_event(target.id_, "stop waits for the floor", intent, decision.reason_);
    }
}

void stop_plan_executor::record_event(std::string_view target, std::string_view what,
                                      const stop_intent& intent, std::string_view evidence)
{
    event entry;
    entry.subject_ = std::string(target);
    entry.what_ = std::string(what);
    entry.rule_ = intent.rule_;
    entry.evidence_ = std::string(evidence);
    entry.revision_ = config_.revision_in_force();
    entry.note_ = intent.note_.who_ + ": " + intent.note_.why_;
    context_.record(std::move(entry));
}

} // namespace bamboohoist
