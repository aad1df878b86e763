#include "daemon/guard.hpp"

#include "daemon/guarded_target.hpp"
#include "wire/quota_codec.hpp"
#include "wire/request_codec.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr std::size_t crash_history_capacity = 4096;
constexpr duration crash_max_age = std::chrono::minutes(30);
const service_spec default_service;

} // namespace

guard::guard(const traffic_context& context, guard_listener& listener)
    : context_(context), listener_(listener),
      server_(context.loop_, "guard-server", context.settings_.peers_,
              [this](const stream_call_ptr& call) { on_call(call); }),
      crash_history_(crash_history_capacity, crash_max_age), claim_router_(context),
      quota_owner_(context)
{
}

guard::~guard() = default;

std::string_view guard::name() const
{
    return "guard";
}

bool guard::start()
{
    return server_.start();
}

void guard::stop()
{
    server_.stop();
}

void guard::set_fleet(fleet_ptr fleet)
{
    fleet_ = std::move(fleet);
    claim_router_.set_fleet(fleet_);
    quota_owner_.set_fleet(fleet_);
    for (auto& [id, target] : targets_)
    {
        target->set_limits(service_spec_of(target->target().service_));
    }
}

void guard::set_targets(std::span<const local_target> targets)
{
    for (const local_target& target : targets)
    {
        auto& guarded = targets_[target.id_];
        if (guarded)
        {
            guarded->update(target);
        }
        else
        {
            guarded =
                std::make_unique<guarded_target>(*this, target, service_spec_of(target.service_));
        }
    }
    std::erase_if(targets_, [&](const auto& pair) {
        const bool listed = std::ranges::any_of(
            targets, [&](const local_target& target) { return target.id_ == pair.first; });
        if (!listed)
        {
            pair.second->retire();
        }
        return !listed && pair.second->is_idle();
    });
}

void guard::record_remote_crash(std::string_view crash_id, std::span<const std::uint64_t> suspects)
{
    crash_history_.record_crash(crash_id, suspects, context_.clock_.now());
}

void guard::release(std::uint64_t fingerprint)
{
    crash_history_.release(fingerprint);
}

void guard::refuse_new_calls()
{
    ends_ = true;
    server_.refuse_new_calls();
}

std::uint16_t guard::port() const
{
    return server_.port();
}

std::size_t guard::in_flight() const
{
    return job_count_ + claim_router_.pending_completions();
}

void guard::on_call(const stream_call_ptr& call)
{
    if (is_claim_call(call->message()))
    {
        on_claim_call(call);
        return;
    }
    if (is_quota_call(call->message()))
    {
        quota_owner_.on_call(call);
        return;
    }
    if (ends_)
    {
        refuse(call, error_kind::leaving, "this node ends");
        return;
    }
    if (call->message().body_dropped_)
    {
        refuse_for_memory(call);
        return;
    }
    auto request = decode_request(call->take_message());
    if (!request)
    {
        refuse(call, last_reason().kind_, last_reason().text_);
        return;
    }
    guarded_target* target = find_target(request->target_);
    if (target == nullptr)
    {
        refuse(call, error_kind::no_target, request->target_ + " is not a target of this node");
        return;
    }
    const ref_ptr<guard_job> job(new guard_job(*this, *target, call, std::move(*request)));
    target->submit(job);
}

void guard::refuse_for_memory(const stream_call_ptr& call)
{
    constexpr std::string_view why = "the memory limit of the guard's node leaves no room for it";
    const auto request = decode_request(call->take_message());
    request_decision entry;
    entry.request_ = request ? std::string_view(request->id_) : std::string_view();
    entry.decision_ = "refused by guard";
    entry.outcome_ = "not-run";
    entry.inputs_ = std::string(error_response_for(error_kind::overloaded).name_) + ": " +
                    std::string(why) + "; " + std::to_string(context_.loop_.memory().used()) +
                    " of " + std::to_string(context_.loop_.memory().capacity()) +
                    " bytes are in use";
    context_.decisions_.write(entry);
    refuse(call, error_kind::overloaded, why);
}

void guard::on_claim_call(const stream_call_ptr& call)
{
    auto record = decode_claim(call->message().body_);
    if (!record)
    {
        call->respond(encode_claim_reply_message(claim_reply{}));
        return;
    }
    claim_router_.submit_for_peer(
        std::move(*record), claim_time_left(call->message()),
        [call](const claim_reply& reply) { call->respond(encode_claim_reply_message(reply)); });
}

void guard::report_crash(const local_target& target, std::vector<std::uint64_t> suspects)
{
    context_.metrics_.add(counter::target_crashes);
    target_crash crash;
    crash.crash_id_ = target.id_ + "#" + target.incarnation_;
    crash.service_ = target.service_;
    crash.quarantined_ =
        crash_history_.record_crash(crash.crash_id_, suspects, context_.clock_.now());
    crash.suspects_ = std::move(suspects);
    context_.metrics_.add(counter::quarantines, crash.quarantined_.size());
    listener_.on_crash(std::move(crash));
}

guarded_target* guard::find_target(std::string_view id)
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : found->second.get();
}

void guard::refuse(const stream_call_ptr& call, error_kind kind, std::string_view detail)
{
    forwarded_response response;
    response.error_ = kind;
    response.outcome_ = outcome::not_run;
    response.detail_ = std::string(detail);
    call->respond(encode_response(std::move(response)));
}

const service_spec& guard::service_spec_of(std::string_view service) const
{
    const auto index =
        fleet_ && fleet_->active_ ? fleet_->active_->routes_.find_service(service) : std::nullopt;
    return index ? fleet_->active_->manifest_->services_[*index] : default_service;
}

} // namespace bamboohoist
