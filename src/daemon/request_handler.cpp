#include "daemon/request_handler.hpp"

#include "wire/request_codec.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr int first_server_error_status = 500;
constexpr double latency_gain = 0.2;
/// The guard answers at the deadline; the ingress does so itself only when that answer is lost.
constexpr duration answer_grace = std::chrono::milliseconds(60);
constexpr duration least_retry_after = std::chrono::milliseconds(100);
constexpr duration most_retry_after = std::chrono::seconds(1);
constexpr std::size_t message_overhead = 512; ///< Bytes of header fields, about.
constexpr double region_burst_s = 2.0; ///< Seconds of the region's budget that may be saved up.

/// A second attempt that found no room looks again after this time.
constexpr duration room_check_period = std::chrono::milliseconds(100);
/// More attempts than this are never out at once.
constexpr std::size_t most_sendings = 2;

bool is_bad(const forwarded_response& answer, const service_baseline& baseline)
{
    const bool failed =
        answer.error_ != error_kind::none || answer.message_.status_ >= first_server_error_status;
    return target_health::classify(answer.slot_ms_, failed, baseline) != observation::good;
}

} // namespace

request_handler::request_handler(ingress& owner, exchange_ptr caller)
    : owner_(owner), caller_(std::move(caller)), fleet_(owner.fleet_), id_(unique_identifier()),
      began_(owner.context_.clock_.now()),
      deadline_timer_(owner.context_.loop_, [this] { on_deadline(); }),
      attempt_timer_(owner.context_.loop_, [this] { on_attempt_timeout(); })
{
}

void request_handler::begin()
{
    if (!fleet_ || !fleet_->active_)
    {
        answer_error(error_kind::not_ready, outcome::not_run, "no revision is known yet");
        return;
    }
    if (!read_request())
    {
        answer_error(last_reason().kind_, outcome::not_run, last_reason().text_);
        return;
    }
    if (owner_.end_ && deadline_ > *owner_.end_)
    {
        answer_error(error_kind::leaving, outcome::not_run,
                     "this node ends before the request might");
        return;
    }
    owner_.budget_.record_first_attempt(service_->name_, organisation_,
                                        owner_.context_.clock_.now());
    const ref_ptr<request_handler> self(this);
    caller_->on_abandoned([self] { self->abandon(); });
    owner_.open_.push_back(*this);
    deadline_timer_.arm(time_left() + answer_grace);
    if (!attempt())
    {
        answer_error(error_kind::no_target, outcome::not_run,
                     "no target of " + service_->name_ + " can take the request");
    }
}

bool request_handler::read_request()
{
    const request_message& request = caller_->request();
    const caller_protocol& callers = owner_.context_.deployment_.callers();
    auto terms = callers.read(request.headers_);
    if (!terms)
    {
        return false;
    }
    if (!terms->id_.empty())
    {
        id_ = std::move(terms->id_);
    }
    key_ = std::move(terms->key_);
    if (!route_request())
    {
        return false;
    }
    read_deadline(terms->time_left_);
    std::ranges::copy_if(request.headers_, std::back_inserter(headers_), [&](const header& field) {
        return !is_hop_by_hop_header(field.name_) && !is_internal_header(field.name_) &&
               !callers.strips_header(field.name_);
    });
    return true;
}

bool request_handler::route_request()
{
    const active_revision& active = *fleet_->active_;
    const request_message& request = caller_->request();
    organisation_ = std::string(
        find_header(request.headers_, active.manifest_->organisation_header_).value_or(""));
    const auto found =
        active.routes_.match(request.host_, path_without_query(request.target_), organisation_);
    if (!found)
    {
        return false;
    }
    route_ = &active.manifest_->routes_[found->route_];
    service_index_ = active.routes_.choose_service(*found, owner_.context_.random_.uniform());
    service_ = &active.manifest_->services_[service_index_];
    if (const auto known = active.routes_.organisation(organisation_))
    {
        share_ = active.manifest_->organisations_[*known].share_;
    }
    idempotent_ = route_->kind_ == request_kind::by_method
                      ? is_idempotent_method(request.method_)
                      : route_->kind_ == request_kind::idempotent;
    return true;
}

void request_handler::read_deadline(const std::optional<duration>& time_left)
{
    duration left = time_left.value_or(std::chrono::milliseconds(service_->timeout_ms_));
    if (route_->timeout_ms_ != 0)
    {
        left = std::min<duration>(left, std::chrono::milliseconds(route_->timeout_ms_));
    }
    deadline_ = owner_.context_.clock_.now() + left;
}

bool request_handler::attempt()
{
    const auto chosen = choose_any();
    if (!chosen)
    {
        return false;
    }
    if (chosen->floor_applied_)
    {
        owner_.context_.metrics_.add(counter::floor_applied);
    }
    send(targets().targets_[chosen->index_], *chosen);
    return true;
}

std::optional<target_choice> request_handler::choose_any()
{
    const bool region = region_allowed();
    const auto chosen = choose(path_use::healthy, region);
    // Rather a path that failed lately than none.
    return chosen ? chosen : choose(path_use::any, region);
}

bool request_handler::has_room_beside()
{
    const auto chosen = choose_any();
    return chosen && can_hedge(make_candidate(targets().targets_[chosen->index_], path_use::any));
}

std::optional<target_choice> request_handler::choose(path_use paths, bool region_allowed) const
{
    std::vector<candidate> known;
    for (const fleet_target& target : targets().targets_)
    {
        known.push_back(make_candidate(target, paths));
    }
    replace_stale_loads(known);
    const bool first = attempts_ == 0;
    const choice_limits limits{service_->floor_, region_allowed, !idempotent_ || !first,
                               has_trials(service_->health_goal_)};
    return choose_target(known, limits, owner_.context_.random_);
}

candidate request_handler::make_candidate(const fleet_target& target, path_use paths) const
{
    const instant now = owner_.context_.clock_.now();
    candidate entry;
    entry.load_fresh_ = false;
    entry.distance_ = target.distance_;
    entry.slots_ = target.slots_;
    entry.weight_ = target.weight_;
    bool reachable = true;
    const auto view = owner_.views_.find(target.id_);
    if (view != owner_.views_.end())
    {
        const target_stats& seen = view->second;
        entry.load_ = std::max<double>(seen.in_flight_, seen.reported_load_);
        entry.load_fresh_ = now - seen.reported_at_ < load_max_age;
        entry.trial_due_ = now - seen.trial_at_ >= trial_period;
        entry.latency_ms_ = seen.latency_ms_;
        reachable = paths == path_use::any || seen.path_.is_usable(now);
        entry.weight_ =
            effective_weight(target.weight_, seen.reported_weight_, now - seen.reported_at_);
    }
    const bool tried = std::ranges::find(tried_, target.id_) != tried_.end();
    entry.usable_ = !target.leaving_ && !tried && reachable;
    return entry;
}

const service_targets& request_handler::targets() const
{
    // What is known of the targets may be newer than the request, its routing is not.
    const fleet_ptr& newest = owner_.fleet_->active_ == fleet_->active_ ? owner_.fleet_ : fleet_;
    return *newest->services_[service_index_];
}

bool request_handler::region_allowed()
{
    const auto rate = static_cast<double>(fleet_->active_->manifest_->region_bytes_per_s_);
    const instant now = owner_.context_.clock_.now();
    const double elapsed_s = std::chrono::duration<double>(now - owner_.region_refill_).count();
    owner_.region_refill_ = now;
    owner_.region_tokens_ =
        std::min(owner_.region_tokens_ + elapsed_s * rate, rate * region_burst_s);
    return owner_.region_tokens_ > 0.0;
}

void request_handler::pay_for_region(const fleet_target& target, std::size_t bytes)
{
    if (target.distance_ == distance::other_region)
    {
        owner_.region_tokens_ -= static_cast<double>(bytes);
        owner_.context_.metrics_.add(counter::region_bytes_sent, bytes);
    }
}

void request_handler::send(const fleet_target& target, const target_choice& why)
{
    sending made;
    made.number_ = ++attempts_;
    made.target_ = target;
    made.sent_ = owner_.context_.clock_.now();
    made.link_ = &owner_.link_to(target.guard_address_);
    tried_.push_back(target.id_);
    last_target_ = target.id_;
    target_stats& view = owner_.view_of(target.id_);
    ++view.in_flight_;
    view.trial_at_ = why.trial_ ? made.sent_ : view.trial_at_;
    made.trial_ = why.trial_;
    forwarded_request work = make_work(target);
    work.last_resort_ = why.last_resort_;
    work.trial_ = why.trial_;
    stream_message message = encode_request(work);
    pay_for_region(target, message.body_.size() + message_overhead);
    const ref_ptr<request_handler> self(this);
    made.call_ =
        made.link_->call(std::move(message), [self, number = made.number_](call_result result) {
            self->on_result(number, std::move(result));
        });
    sendings_.push_back(std::move(made));
    arm_attempt_timer();
}

forwarded_request request_handler::make_work(const fleet_target& target) const
{
    const request_message& request = caller_->request();
    forwarded_request work;
    work.id_ = id_;
    work.service_ = service_->name_;
    work.target_ = target.id_;
    work.organisation_ = organisation_;
    work.share_ = share_;
    work.key_ = idempotent_ ? "" : key_;
    work.time_left_ = time_left();
    work.attempt_ = attempts_;
    work.ingress_node_ = owner_.context_.settings_.node_;
    work.caller_service_ = owner_.context_.settings_.service_;
    work.idempotent_ = idempotent_;
    work.baseline_ = owner_.baseline_of(*route_);
    work.message_.method_ = request.method_;
    work.message_.host_ = request.host_;
    work.message_.target_ = request.target_;
    work.message_.headers_ = headers_;
    work.message_.body_ = request.body_;
    return work;
}

void request_handler::arm_attempt_timer()
{
    if (!idempotent_ || sendings_.size() >= most_sendings)
    {
        return;
    }
    // Half of the time left stays for another target.
    const duration goal = std::chrono::milliseconds(route_->goal_ms_);
    attempt_timer_.arm(
        std::min(owner_.view_of(*route_).latency_.hedge_delay(goal), time_left() / 2));
}

void request_handler::on_attempt_timeout()
{
    if (sendings_.empty() || sendings_.size() >= most_sendings)
    {
        return;
    }
    const ref_ptr<request_handler> self(this);
    record_path_silence(sendings_.front());
    forwarded_response failure;
    failure.error_ = error_kind::target_stalled;
    failure.outcome_ = outcome::unknown;
    if (!has_room_beside())
    {
        attempt_timer_.arm(room_check_period);
        return;
    }
    if (take_retry(failure))
    {
        attempt();
    }
}

void request_handler::on_result(std::uint32_t number, call_result result)
{
    const auto found = std::ranges::find(sendings_, number, &sending::number_);
    if (found == sendings_.end())
    {
        return;
    }
    attempt_timer_.cancel();
    const sending ended = std::move(*found);
    sendings_.erase(found);
    target_stats& view = owner_.view_of(ended.target_.id_);
    view.in_flight_ -= view.in_flight_ > 0 ? 1 : 0;
    auto answer = result.response_ ? decode_response(std::move(*result.response_)) : std::nullopt;
    if (answer)
    {
        learn(ended, *answer);
        on_answer(std::move(*answer));
        return;
    }
    view.path_.record_failure(owner_.context_.clock_.now());
    forwarded_response failure;
    failure.error_ = error_kind::peer_unreachable;
    failure.outcome_ = result.failure_ == call_failure::lost ? outcome::unknown : outcome::not_run;
    failure.detail_ = "the connection to the node beside " + ended.target_.id_ + " failed";
    on_failure(failure);
}

void request_handler::learn(const sending& ended, const forwarded_response& answer)
{
    const instant now = owner_.context_.clock_.now();
    target_stats& view = owner_.view_of(ended.target_.id_);
    view.path_.record_success();
    view.reported_load_ = answer.load_.running_ + answer.load_.queued_;
    view.reported_weight_ = answer.weight_;
    view.reported_at_ = now;
    if (ended.trial_ && answer.error_ == error_kind::none)
    {
        // A trial that went well is followed up at once.
        view.trial_at_ = instant{};
    }
    if (answer.slot_ms_ <= 0.0)
    {
        return;
    }
    const double taken_ms = to_ms(now - ended.sent_);
    view.latency_ms_ += latency_gain * (taken_ms - view.latency_ms_);
    route_stats& route = owner_.view_of(*route_);
    if (answer.error_ == error_kind::none)
    {
        route.latency_.add(taken_ms);
    }
    route.baseline_estimator_.add(answer.slot_ms_, is_bad(answer, owner_.baseline_of(*route_)));
}

void request_handler::record_path_silence(const sending& late)
{
    path_health& path = owner_.view_of(late.target_.id_).path_;
    if (path.record_timeout(late.link_->bytes_received(), owner_.context_.clock_.now()))
    {
        late.link_->ping();
    }
}

void request_handler::on_answer(forwarded_response answer)
{
    if (answer.error_ != error_kind::none)
    {
        on_failure(answer);
        return;
    }
    if (!idempotent_ || answer.message_.status_ < first_server_error_status)
    {
        relay(std::move(answer.message_));
        return;
    }
    // Another target may do better; if none does, this answer is as good as any.
    error_answer_ = std::move(answer.message_);
    answer.error_ = error_kind::target_failed;
    on_failure(answer);
}

void request_handler::on_failure(const forwarded_response& failure)
{
    const bool reached = failure.slot_ms_ > 0.0 || failure.outcome_ != outcome::not_run;
    reached_ += reached ? 1 : 0;
    unknown_seen_ |= failure.outcome_ != outcome::not_run;
    crashes_ += failure.error_ == error_kind::target_crashed ? 1 : 0;
    if (take_retry(failure) && attempt())
    {
        return;
    }
    if (sendings_.empty())
    {
        give_up(failure);
    }
}

void request_handler::give_up(const forwarded_response& failure)
{
    if (error_answer_)
    {
        relay(std::move(*error_answer_));
        return;
    }
    // An earlier attempt of an idempotent request may have run even if the last one did not.
    const bool unsure = unknown_seen_ && failure.outcome_ == outcome::not_run;
    answer_error(failure.error_, unsure ? outcome::unknown : failure.outcome_, failure.detail_);
}

bool request_handler::take_retry(const forwarded_response& failure)
{
    const auto out = static_cast<std::uint32_t>(sendings_.size());
    failed_attempt failed;
    failed.outcome_ = failure.outcome_;
    failed.error_ = failure.error_;
    failed.idempotent_ = idempotent_;
    failed.attempts_ = attempts_;
    failed.crashes_ = crashes_;
    failed.reached_ = reached_ + out;
    failed.max_reached_ = route_->attempts_;
    failed.time_left_ = time_left();
    if (decide_retry(failed) != retry_decision::retry)
    {
        return false;
    }
    // What no target has seen yet costs targets nothing more than a first attempt does.
    const bool granted =
        failed.reached_ == 0 ||
        owner_.budget_.try_spend(service_->name_, organisation_, service_->retry_budget_,
                                 owner_.context_.clock_.now());
    owner_.context_.metrics_.add(granted ? counter::retries : counter::retries_denied);
    tell(granted ? "retry" : "no retry", error_response_for(failure.error_).name_,
         granted ? to_string(failure.outcome_) : "the retry budget is used up");
    return granted;
}

void request_handler::on_deadline()
{
    const ref_ptr<request_handler> self(this);
    drop_sendings();
    if (error_answer_)
    {
        relay(std::move(*error_answer_));
        return;
    }
    answer_error(error_kind::deadline_exceeded, outcome::unknown,
                 "no answer within the caller's deadline");
}

void request_handler::respond_on_shutdown()
{
    const ref_ptr<request_handler> self(this);
    const bool out = !sendings_.empty();
    drop_sendings();
    if (error_answer_)
    {
        relay(std::move(*error_answer_));
        return;
    }
    answer_error(error_kind::leaving, out || unknown_seen_ ? outcome::unknown : outcome::not_run,
                 "this node ends before the request does");
}

void request_handler::tell(std::string_view decision, std::string_view why,
                           std::string_view result) const
{
    const instant now = owner_.context_.clock_.now();
    request_decision entry;
    entry.request_ = id_;
    entry.decision_ = decision;
    entry.outcome_ = result;
    entry.revision_ = fleet_ && fleet_->active_ ? fleet_->active_->revision_ : 0;
    entry.inputs_ = std::string(why) + "; attempts " + std::to_string(attempts_) + ", reached " +
                    std::to_string(reached_) + ", newest target " +
                    (last_target_.empty() ? "none" : last_target_);
    if (service_ != nullptr)
    {
        entry.inputs_ += ", left " + std::to_string(static_cast<long>(to_ms(time_left()))) + " ms";
    }
    for (const sending& item : sendings_)
    {
        entry.inputs_ += ", out at " + item.target_.id_ + " for " +
                         std::to_string(static_cast<long>(to_ms(now - item.sent_))) +
                         " ms, weight " + std::to_string(item.target_.weight_);
    }
    owner_.context_.decisions_.write(entry);
}

void request_handler::relay(response_message answer)
{
    const bool success = answer.status_ < first_server_error_status;
    if (!success)
    {
        note_failure();
    }
    if (!success || attempts_ > 1 || decision_log::is_sampled(id_))
    {
        tell("answered by target", "status " + std::to_string(answer.status_), "ran");
    }
    deadline_timer_.cancel();
    unlink();
    drop_sendings();
    owner_.context_.metrics_.add(counter::responses_relayed);
    note_latency();
    caller_->complete(std::move(answer));
}

void request_handler::answer_error(error_kind kind, outcome result, std::string_view detail)
{
    deadline_timer_.cancel();
    unlink();
    owner_.context_.metrics_.add(counter::responses_generated);
    note_latency();
    note_failure();
    tell(result == outcome::not_run ? "refused" : "failed",
         std::string(error_response_for(kind).name_) + ": " + std::string(detail),
         to_string(result));
    caller_->complete(owner_.context_.deployment_.callers().write(
        {kind, result, detail, id_, retry_after(kind, result)}));
}

std::optional<duration> request_handler::retry_after(error_kind kind, outcome result) const
{
    if (result != outcome::not_run || error_response_for(kind).status_ < first_server_error_status)
    {
        return std::nullopt;
    }
    if (kind == error_kind::overloaded && route_ != nullptr)
    {
        // A slot of some target is free by then.
        const double usual_ms = owner_.baseline_of(*route_).latency_ms_ / 2.0;
        return std::clamp<duration>(from_ms(usual_ms), least_retry_after, most_retry_after);
    }
    return most_retry_after;
}

void request_handler::abandon()
{
    const ref_ptr<request_handler> self(this);
    deadline_timer_.cancel();
    unlink();
    owner_.context_.metrics_.add(counter::callers_disconnected);
    note_failure();
    tell("given up", "the caller has gone", sendings_.empty() ? "not-run" : "unknown");
    drop_sendings();
}

void request_handler::drop_sendings()
{
    attempt_timer_.cancel();
    const std::vector<sending> out = std::move(sendings_);
    sendings_.clear();
    for (const sending& item : out)
    {
        drop(item);
    }
}

void request_handler::drop(const sending& item)
{
    item.link_->cancel(item.call_);
    target_stats& view = owner_.view_of(item.target_.id_);
    view.in_flight_ -= view.in_flight_ > 0 ? 1 : 0;
}

void request_handler::note_failure()
{
    if (service_ != nullptr)
    {
        owner_.context_.call_failures_.record(service_->name_, owner_.context_.clock_.now());
    }
}

void request_handler::note_latency()
{
    const duration taken = owner_.context_.clock_.now() - began_;
    owner_.context_.metrics_.observe(latency::request, taken);
}

duration request_handler::time_left() const
{
    return deadline_ - owner_.context_.clock_.now();
}

} // namespace bamboohoist
