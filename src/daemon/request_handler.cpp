#include "daemon/request_handler.hpp"

#include "daemon/response_statistics.hpp"
#include "wire/request_codec.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// The guard responds at the deadline. The ingress waits this much longer and responds by itself
/// only when the guard's response was lost.
constexpr duration response_grace = std::chrono::milliseconds(60);
constexpr std::size_t message_overhead_bytes = 512; ///< Approximate size of the header fields.

/// When no target has a free slot for a hedge, this is checked again after this time.
constexpr duration hedge_check_period = std::chrono::milliseconds(100);
/// Upper limit of attempts of one request at the same time.
constexpr std::size_t max_pending_attempts = 2;

} // namespace

request_handler::request_handler(ingress& owner, exchange_ptr caller)
    : owner_(owner), caller_(std::move(caller)), fleet_(owner.fleet_), id_(unique_identifier()),
      started_(owner.context_.clock_.now()),
      deadline_timer_(owner.context_.loop_, [this] { on_deadline(); }),
      hedge_timer_(owner.context_.loop_, [this] { on_hedge_timer(); })
{
}

void request_handler::start()
{
    if (!admit())
    {
        return;
    }
    if (!can_take_on(owner_.context_, request_, caller_->request(), owner_.ends_at_))
    {
        respond_with_error(last_reason().kind_, outcome::not_run, last_reason().text_);
        return;
    }
    const ref_ptr<request_handler> self(this);
    caller_->on_abandoned([self] { self->on_caller_disconnected(); });
    owner_.open_requests_.push_back(*this);
    deadline_timer_.arm(time_left() + response_grace);
    owner_.quotas_.admit(
        *fleet_->active_, request_.organisation_.name_, time_left(),
        [self](const quota_decision& decision) { self->on_quota_decision(decision); });
}

void request_handler::on_quota_decision(const quota_decision& decision)
{
    const bool admitted = decision.result_ == quota_decision::result::admitted;
    if (!is_linked())
    {
        // The request has ended while it waited for the decision.
        if (admitted)
        {
            owner_.quotas_.give_back(request_.organisation_.name_, owner_.context_.clock_.now());
        }
        return;
    }
    if (!admitted)
    {
        quota_retry_ = decision.retry_after_;
        respond_with_error(error_kind::quota_exceeded, outcome::not_run,
                           describe_refusal(request_.organisation_.name_, decision));
        return;
    }
    admitted_ = owner_.context_.clock_.now();
    owner_.budget_.record_first_attempt(request_.service_->name_, request_.organisation_.name_,
                                        owner_.context_.clock_.now());
    if (!start_attempt())
    {
        respond_with_error(error_kind::no_target, outcome::not_run,
                           "no target of service " + request_.service_->name_ + " is available");
    }
}

bool request_handler::admit()
{
    const request_message& request = caller_->request();
    auto metadata = owner_.context_.deployment_.callers().read(request.headers_);
    if (metadata && !metadata->id_.empty())
    {
        // The response to a refused request names the caller's identifier too.
        id_ = metadata->id_;
    }
    if (!fleet_ || !fleet_->active_)
    {
        respond_with_error(error_kind::not_ready, outcome::not_run,
                           "this node has no configuration revision yet");
        return false;
    }
    auto admitted =
        metadata ? admit_request(owner_.context_, *fleet_, request, *metadata) : std::nullopt;
    if (!admitted)
    {
        respond_with_error(last_reason().kind_, outcome::not_run, last_reason().text_);
        return false;
    }
    key_ = std::move(metadata->key_);
    request_ = std::move(*admitted);
    return true;
}

bool request_handler::start_attempt()
{
    const auto selected = select_target();
    if (!selected)
    {
        return false;
    }
    if (selected->choice_.floor_applied_)
    {
        owner_.context_.metrics_.add(counter::floor_applied);
    }
    send_attempt(selected->target_, selected->choice_);
    return true;
}

std::optional<selected_target> request_handler::select_target()
{
    const bool last_attempt = !request_.idempotent_ || attempts_ > 0;
    return target_selector(owner_).select({fleet_, request_.service_index_,
                                           request_.organisation_.name_, tried_targets_,
                                           last_attempt});
}

void request_handler::send_attempt(const fleet_target& target, const target_choice& choice)
{
    pending_attempt attempt;
    attempt.number_ = ++attempts_;
    attempt.target_ = target;
    attempt.sent_ = owner_.context_.clock_.now();
    attempt.link_ = &owner_.link_to(target.guard_address_);
    tried_targets_.push_back(target.id_);
    last_target_ = target.id_;
    target_stats& stats = owner_.stats_of(target.id_);
    ++stats.in_flight_;
    if (choice.trial_)
    {
        stats.trials_.on_sent(attempt.sent_);
    }
    attempt.trial_ = choice.trial_;
    forwarded_request forwarded = make_forwarded_request(target);
    forwarded.last_resort_ = choice.last_resort_;
    forwarded.trial_ = choice.trial_;
    stream_message message = encode_request(std::move(forwarded));
    owner_.charge_region_budget(target, message.body_.size() + message_overhead_bytes);
    const ref_ptr<request_handler> self(this);
    attempt.call_ = attempt.link_->call(std::move(message),
                                        [self, number = attempt.number_](call_result result) {
                                            self->on_call_result(number, std::move(result));
                                        });
    pending_attempts_.push_back(std::move(attempt));
    arm_hedge_timer();
}

forwarded_request request_handler::make_forwarded_request(const fleet_target& target) const
{
    forwarded_request forwarded = forward_request(request_, caller_->request());
    forwarded.id_ = id_;
    forwarded.target_ = target.id_;
    forwarded.idempotency_key_ = request_.idempotent_ ? "" : key_;
    forwarded.time_left_ = time_left();
    forwarded.attempt_ = attempts_;
    forwarded.ingress_node_ = owner_.context_.settings_.node_;
    forwarded.caller_service_ = owner_.service_;
    forwarded.baseline_ = owner_.baseline_of(*request_.route_);
    return forwarded;
}

void request_handler::arm_hedge_timer()
{
    if (!request_.idempotent_ || pending_attempts_.size() >= max_pending_attempts)
    {
        return;
    }
    // At least half of the remaining time is kept for the attempt at another target.
    const duration goal = std::chrono::milliseconds(request_.route_->goal_ms_);
    hedge_timer_.arm(
        std::min(owner_.stats_of(*request_.route_).latency_.hedge_delay(goal), time_left() / 2));
}

void request_handler::on_hedge_timer()
{
    if (pending_attempts_.empty() || pending_attempts_.size() >= max_pending_attempts)
    {
        return;
    }
    const ref_ptr<request_handler> self(this);
    record_path_silence(pending_attempts_.front());
    forwarded_response failure;
    failure.error_ = error_kind::target_stalled;
    failure.outcome_ = outcome::unknown;
    const auto second = select_target();
    if (!second || !second->has_free_slot_)
    {
        hedge_timer_.arm(hedge_check_period);
        return;
    }
    if (acquire_retry(failure))
    {
        start_attempt();
    }
}

void request_handler::on_call_result(std::uint32_t number, call_result result)
{
    const auto found = std::ranges::find(pending_attempts_, number, &pending_attempt::number_);
    if (found == pending_attempts_.end())
    {
        return;
    }
    hedge_timer_.cancel();
    const pending_attempt attempt = std::move(*found);
    pending_attempts_.erase(found);
    target_stats& stats = owner_.stats_of(attempt.target_.id_);
    stats.in_flight_ -= stats.in_flight_ > 0 ? 1 : 0;
    const bool body_dropped = result.response_ && result.response_->body_dropped_;
    auto response = result.response_ ? decode_response(std::move(*result.response_)) : std::nullopt;
    if (response)
    {
        if (body_dropped && response->error_ == error_kind::none)
        {
            response->error_ = error_kind::response_too_large;
            response->detail_ = "the memory limit of this node left no room for the response";
        }
        const attempt_response received{*response, attempt.sent_, owner_.context_.clock_.now(),
                                        attempt.trial_};
        record_response(received, stats);
        record_response(received, owner_.baseline_of(*request_.route_),
                        owner_.stats_of(*request_.route_));
        on_response(std::move(*response));
        return;
    }
    stats.path_.record_failure(owner_.context_.clock_.now());
    forwarded_response failure;
    failure.error_ = error_kind::peer_unreachable;
    failure.outcome_ = result.failure_ == call_failure::lost ? outcome::unknown : outcome::not_run;
    failure.detail_ = "the connection to the node in front of " + attempt.target_.id_ + " failed";
    on_failure(failure);
}

void request_handler::record_path_silence(const pending_attempt& attempt)
{
    path_health& path = owner_.stats_of(attempt.target_.id_).path_;
    if (path.record_timeout(attempt.link_->bytes_received(), owner_.context_.clock_.now()))
    {
        attempt.link_->ping();
    }
}

void request_handler::on_response(forwarded_response response)
{
    if (response.error_ != error_kind::none)
    {
        on_failure(response);
        return;
    }
    if (!request_.idempotent_ || response.message_.status_ < first_server_error_status)
    {
        relay_response(std::move(response.message_));
        return;
    }
    // Another target may succeed. If none does, the caller gets this response.
    error_response_ = std::move(response.message_);
    response.error_ = error_kind::target_failed;
    on_failure(response);
}

void request_handler::on_failure(const forwarded_response& failure)
{
    const bool reached = failure.slot_ms_ > 0.0 || failure.outcome_ != outcome::not_run;
    targets_reached_ += reached ? 1 : 0;
    may_have_run_ |= failure.outcome_ != outcome::not_run;
    crashes_ += failure.error_ == error_kind::target_crashed ? 1 : 0;
    if (acquire_retry(failure) && start_attempt())
    {
        return;
    }
    if (pending_attempts_.empty())
    {
        finish_with_failure(failure.error_, failure.outcome_, failure.detail_);
    }
}

void request_handler::finish_with_failure(error_kind kind, outcome result, std::string_view detail)
{
    if (error_response_)
    {
        relay_response(std::move(*error_response_));
        return;
    }
    // An earlier attempt of an idempotent request may have run even if the last one was not.
    const bool may_have_run = may_have_run_ && result == outcome::not_run;
    respond_with_error(kind, may_have_run ? outcome::unknown : result, detail);
}

bool request_handler::acquire_retry(const forwarded_response& failure)
{
    const auto pending = static_cast<std::uint32_t>(pending_attempts_.size());
    failed_attempt failed;
    failed.outcome_ = failure.outcome_;
    failed.error_ = failure.error_;
    failed.idempotent_ = request_.idempotent_;
    failed.attempts_ = attempts_;
    failed.crashes_ = crashes_;
    failed.targets_reached_ = targets_reached_ + pending;
    failed.max_targets_reached_ = request_.route_->max_targets_reached_;
    failed.time_left_ = time_left();
    if (decide_retry(failed) != retry_decision::retry)
    {
        return false;
    }
    // A request that no target has received yet causes no more load than a first attempt, so its
    // retries are not charged.
    const bool granted =
        failed.targets_reached_ == 0 ||
        owner_.budget_.try_spend(request_.service_->name_, request_.organisation_.name_,
                                 request_.service_->retry_budget_, owner_.context_.clock_.now());
    owner_.context_.metrics_.add(granted ? counter::retries : counter::retries_denied);
    log_decision(granted ? "retry" : "no retry", error_response_for(failure.error_).name_,
                 granted ? to_string(failure.outcome_)
                         : "the retry budget of the service or organisation is used up");
    return granted;
}

void request_handler::on_deadline()
{
    give_up(error_kind::deadline_exceeded, attempts_ == 0 ? outcome::not_run : outcome::unknown,
            "no response within the caller's deadline");
}

void request_handler::respond_on_shutdown()
{
    const bool pending = !pending_attempts_.empty();
    give_up(error_kind::leaving, pending ? outcome::unknown : outcome::not_run,
            "this node stopped before the request finished");
}

void request_handler::give_up(error_kind kind, outcome result, std::string_view detail)
{
    const ref_ptr<request_handler> self(this);
    cancel_attempts();
    finish_with_failure(kind, result, detail);
}

void request_handler::log_decision(std::string_view decision, std::string_view why,
                                   std::string_view result) const
{
    request_decision entry;
    entry.request_ = id_;
    entry.decision_ = decision;
    entry.outcome_ = result;
    entry.revision_ = fleet_ && fleet_->active_ ? fleet_->active_->revision_ : 0;
    entry.inputs_ = std::string(why) + "; " +
                    describe_attempts(attempts_, targets_reached_, last_target_,
                                      request_.service_ != nullptr ? std::optional(time_left())
                                                                   : std::nullopt) +
                    describe_pending(pending_attempts_, owner_.context_.clock_.now());
    owner_.context_.decisions_.write(entry);
}

void request_handler::relay_response(response_message response)
{
    const bool success = response.status_ < first_server_error_status;
    if (!success)
    {
        record_call_failure();
    }
    if (!success || attempts_ > 1 || decision_log::is_sampled(id_))
    {
        log_decision("answered by target", "status " + std::to_string(response.status_), "ran");
    }
    deadline_timer_.cancel();
    unlink();
    cancel_attempts();
    owner_.context_.metrics_.add(counter::responses_relayed);
    record_latency();
    caller_->complete(std::move(response));
}

void request_handler::respond_with_error(error_kind kind, outcome result, std::string_view detail)
{
    deadline_timer_.cancel();
    unlink();
    if (admitted_ && result == outcome::not_run)
    {
        owner_.quotas_.give_back(request_.organisation_.name_, *admitted_);
    }
    owner_.context_.metrics_.add(counter::responses_generated);
    record_latency();
    record_call_failure();
    log_decision(result == outcome::not_run ? "refused" : "failed",
                 std::string(error_response_for(kind).name_) + ": " + std::string(detail),
                 to_string(result));
    caller_->complete(owner_.context_.deployment_.callers().write(
        {kind, result, detail, id_,
         quota_retry_ ? quota_retry_ : owner_.retry_after(kind, result, request_.route_)}));
}

void request_handler::on_caller_disconnected()
{
    const ref_ptr<request_handler> self(this);
    deadline_timer_.cancel();
    unlink();
    owner_.context_.metrics_.add(counter::callers_disconnected);
    record_call_failure();
    log_decision("given up", "the caller disconnected",
                 pending_attempts_.empty() ? "not-run" : "unknown");
    cancel_attempts();
}

void request_handler::cancel_attempts()
{
    hedge_timer_.cancel();
    const std::vector<pending_attempt> pending = std::move(pending_attempts_);
    pending_attempts_.clear();
    for (const pending_attempt& attempt : pending)
    {
        attempt.link_->cancel(attempt.call_);
        target_stats& stats = owner_.stats_of(attempt.target_.id_);
        stats.in_flight_ -= stats.in_flight_ > 0 ? 1 : 0;
    }
}

void request_handler::record_call_failure()
{
    if (request_.service_ != nullptr)
    {
        owner_.context_.call_failures_.record(request_.service_->name_,
                                              owner_.context_.clock_.now());
    }
}

void request_handler::record_latency()
{
    const duration elapsed = owner_.context_.clock_.now() - started_;
    owner_.context_.metrics_.observe(latency::request, elapsed);
}

duration request_handler::time_left() const
{
    return request_.deadline_ - owner_.context_.clock_.now();
}

} // namespace bamboohoist
