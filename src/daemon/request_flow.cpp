#include "daemon/request_flow.hpp"

#include "wire/work_codec.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

constexpr std::uint32_t max_timeout_ms = 600'000;
constexpr std::size_t max_key_bytes = 256;
constexpr int first_server_error_status = 500;
constexpr double latency_gain = 0.2;
/// A weight heard with an answer is newer than gossip for about this long.
/// The guard answers at the deadline; the ingress does so itself only when that answer is lost.
constexpr duration answer_grace = std::chrono::milliseconds(20);
constexpr double region_burst_s = 2.0; ///< Seconds of the region's budget that may be saved up.

bool is_bad(const work_answer& answer, const service_usual& usual)
{
    const bool failed =
        answer.error_ != error_kind::none || answer.message_.status_ >= first_server_error_status;
    return target_health::classify(answer.slot_ms_, failed, usual) != observation::good;
}

} // namespace

request_flow::request_flow(ingress& owner, exchange_ptr caller)
    : owner_(owner), caller_(std::move(caller)), fleet_(owner.fleet_), id_(unique_identifier()),
      deadline_timer_(owner.context_.loop_, [this] { on_deadline(); }),
      attempt_timer_(owner.context_.loop_, [this] { on_attempt_timeout(); })
{
}

void request_flow::begin()
{
    if (!fleet_ || !fleet_->active_)
    {
        answer_error(error_kind::not_ready, outcome::not_run, "no revision is known yet");
        return;
    }
    if (!read_request() || !read_deadline())
    {
        answer_error(last_reason().kind_, outcome::not_run, last_reason().text_);
        return;
    }
    owner_.budget_.earn(service_->name_, organisation_, service_->retry_budget_);
    const counted_ptr<request_flow> self(this);
    caller_->on_abandoned([self] { self->abandon(); });
    deadline_timer_.arm(deadline_ - owner_.context_.clock_.now() + answer_grace);
    attempt();
}

bool request_flow::read_request()
{
    const active_revision& active = *fleet_->active_;
    const request_message& request = caller_->request();
    organisation_ = std::string(
        find_header(request.headers_, active.manifest_->organisation_header_).value_or(""));
    const auto index = active.routes_.match(request.host_, path_of(request.target_), organisation_);
    if (!index)
    {
        return false;
    }
    service_index_ = *index;
    service_ = &active.manifest_->services_[service_index_];
    if (const auto known = active.routes_.organisation(organisation_))
    {
        share_ = active.manifest_->organisations_[*known].share_;
    }
    idempotent_ = is_idempotent(request.method_);
    key_ = std::string(find_header(request.headers_, key_header).value_or(""));
    if (key_.size() > max_key_bytes)
    {
        fail(error_kind::bad_request, "Idempotency-Key is longer than 256 bytes");
        return false;
    }
    std::ranges::copy_if(request.headers_, std::back_inserter(headers_), [](const header& field) {
        return !is_hop_by_hop(field.name_) && !is_internal(field.name_) &&
               !same_name(field.name_, timeout_header);
    });
    return true;
}

bool request_flow::read_deadline()
{
    std::uint32_t timeout_ms = service_->timeout_ms_;
    if (const auto text = find_header(caller_->request().headers_, timeout_header))
    {
        const auto [end, error] =
            std::from_chars(text->data(), text->data() + text->size(), timeout_ms);
        const bool whole = error == std::errc() && end == text->data() + text->size();
        if (!whole || timeout_ms == 0 || timeout_ms > max_timeout_ms)
        {
            fail(error_kind::bad_request, std::string(timeout_header) +
                                              ": expected milliseconds from 1 to 600000, got \"" +
                                              std::string(*text) + "\"");
            return false;
        }
    }
    deadline_ = owner_.context_.clock_.now() + std::chrono::milliseconds(timeout_ms);
    return true;
}

void request_flow::attempt()
{
    const choice_limits limits{service_->floor_, region_allowed()};
    auto chosen = choose_target(candidates(path_use::healthy), limits, owner_.context_.random_);
    if (!chosen)
    {
        // Rather a path that failed lately than none.
        chosen = choose_target(candidates(path_use::any), limits, owner_.context_.random_);
    }
    if (!chosen)
    {
        const outcome result = unknown_seen_ ? outcome::unknown : outcome::not_run;
        answer_error(error_kind::no_target, result,
                     "no target of " + service_->name_ + " can take the request");
        return;
    }
    if (chosen->floor_held_)
    {
        owner_.context_.metrics_.add(counter::floor_holds);
    }
    send(fleet_->services_[service_index_]->targets_[chosen->index_]);
}

std::vector<candidate> request_flow::candidates(path_use paths) const
{
    const instant now = owner_.context_.clock_.now();
    std::vector<candidate> known;
    for (const fleet_target& target : fleet_->services_[service_index_]->targets_)
    {
        candidate entry;
        entry.distance_ = target.distance_;
        entry.slots_ = target.slots_;
        entry.weight_ = target.weight_;
        const auto view = owner_.views_.find(target.id_);
        bool reachable = true;
        if (view != owner_.views_.end())
        {
            const target_view& seen = view->second;
            entry.load_ = std::max<double>(seen.in_hand_, seen.reported_load_);
            entry.latency_ms_ = seen.latency_ms_;
            reachable = paths == path_use::any || seen.path_.usable(now);
            entry.weight_ =
                believed_weight(target.weight_, seen.reported_weight_, now - seen.weight_at_);
        }
        const bool tried = std::ranges::find(tried_, target.id_) != tried_.end();
        entry.usable_ = !target.leaving_ && !tried && reachable;
        known.push_back(entry);
    }
    return known;
}

bool request_flow::region_allowed()
{
    const auto rate = static_cast<double>(fleet_->active_->manifest_->region_bytes_per_s_);
    const instant now = owner_.context_.clock_.now();
    const double elapsed_s = std::chrono::duration<double>(now - owner_.region_refill_).count();
    owner_.region_refill_ = now;
    owner_.region_tokens_ =
        std::min(owner_.region_tokens_ + elapsed_s * rate, rate * region_burst_s);
    return owner_.region_tokens_ > 0.0;
}

void request_flow::send(const fleet_target& target)
{
    target_ = &target;
    tried_.push_back(target.id_);
    ++attempts_;
    sent_ = owner_.context_.clock_.now();
    ++owner_.view_of(target.id_).in_hand_;
    stream_message message = encode_work(make_work(target));
    if (target.distance_ == distance::other_region)
    {
        const std::size_t size = message.body_.size() + 512;
        owner_.region_tokens_ -= static_cast<double>(size);
        owner_.context_.metrics_.add(counter::region_bytes_sent, size);
    }
    link_ = &owner_.link_to(target.guard_);
    const counted_ptr<request_flow> self(this);
    arm_attempt_timer();
    call_ = link_->call(std::move(message),
                        [self](call_result result) { self->on_result(std::move(result)); });
}

work_request request_flow::make_work(const fleet_target& target) const
{
    const request_message& request = caller_->request();
    work_request work;
    work.id_ = id_;
    work.service_ = service_->name_;
    work.target_ = target.id_;
    work.organisation_ = organisation_;
    work.share_ = share_;
    work.key_ = idempotent_ ? "" : key_;
    work.time_left_ = deadline_ - owner_.context_.clock_.now();
    work.attempt_ = attempts_;
    work.from_ = owner_.context_.settings_.node_;
    work.usual_ = owner_.service_of(service_index_).baseline_.usual();
    work.message_.method_ = request.method_;
    work.message_.host_ = request.host_;
    work.message_.target_ = request.target_;
    work.message_.headers_ = headers_;
    work.message_.body_ = request.body_;
    return work;
}

void request_flow::arm_attempt_timer()
{
    if (!idempotent_)
    {
        return;
    }
    // Half of the time left stays for another target.
    const duration left = deadline_ - owner_.context_.clock_.now();
    const duration usual = owner_.service_of(service_index_).latency_.limit();
    attempt_timer_.arm(std::min(usual, left / 2));
}

void request_flow::on_attempt_timeout()
{
    const counted_ptr<request_flow> self(this);
    doubt_path();
    work_answer failure;
    failure.error_ = error_kind::target_stalled;
    failure.outcome_ = outcome::unknown;
    if (!take_retry(failure))
    {
        // Giving up would waste what the target has done so far; the deadline bounds the wait.
        return;
    }
    unknown_seen_ = true;
    drop_attempt();
    attempt();
}

void request_flow::on_result(call_result result)
{
    attempt_timer_.cancel();
    target_view& view = owner_.view_of(target_->id_);
    view.in_hand_ -= view.in_hand_ > 0 ? 1 : 0;
    link_ = nullptr;
    auto answer = result.answer_ ? decode_answer(std::move(*result.answer_)) : std::nullopt;
    if (answer)
    {
        view.path_.succeed();
        const double taken_ms = to_ms(owner_.context_.clock_.now() - sent_);
        view.latency_ms_ += latency_gain * (taken_ms - view.latency_ms_);
        owner_.service_of(service_index_).latency_.add(taken_ms);
        view.reported_load_ = answer->load_.running_ + answer->load_.queued_;
        view.reported_weight_ = answer->weight_;
        view.weight_at_ = owner_.context_.clock_.now();
        on_answer(std::move(*answer));
        return;
    }
    view.path_.fail(owner_.context_.clock_.now());
    work_answer failure;
    failure.error_ = error_kind::peer_unreachable;
    failure.outcome_ = result.failure_ == call_failure::lost ? outcome::unknown : outcome::not_run;
    failure.detail_ = "the connection to the node beside " + target_->id_ + " failed";
    on_failure(failure);
}

void request_flow::doubt_path()
{
    path_health& path = owner_.view_of(target_->id_).path_;
    if (path.doubt(link_->bytes_received(), owner_.context_.clock_.now()))
    {
        link_->ping();
    }
}

void request_flow::on_answer(work_answer answer)
{
    if (answer.slot_ms_ > 0.0)
    {
        service_baseline& baseline = owner_.service_of(service_index_).baseline_;
        const bool bad = is_bad(answer, baseline.usual());
        baseline.add(answer.slot_ms_, bad);
    }
    if (answer.error_ != error_kind::none)
    {
        on_failure(answer);
        return;
    }
    relay(std::move(answer.message_));
}

void request_flow::on_failure(const work_answer& failure)
{
    unknown_seen_ |= failure.outcome_ != outcome::not_run;
    crashes_ += failure.error_ == error_kind::target_crashed ? 1 : 0;
    if (take_retry(failure))
    {
        attempt();
        return;
    }
    // An earlier attempt of an idempotent request may have run even if the last one did not.
    const bool unsure = unknown_seen_ && failure.outcome_ == outcome::not_run;
    answer_error(failure.error_, unsure ? outcome::unknown : failure.outcome_, failure.detail_);
}

bool request_flow::take_retry(const work_answer& failure)
{
    failed_attempt failed;
    failed.outcome_ = failure.outcome_;
    failed.error_ = failure.error_;
    failed.idempotent_ = idempotent_;
    failed.attempts_ = attempts_;
    failed.crashes_ = crashes_;
    failed.time_left_ = deadline_ - owner_.context_.clock_.now();
    if (decide_retry(failed) != retry_verdict::retry)
    {
        return false;
    }
    const bool granted = owner_.budget_.spend(service_->name_, organisation_);
    owner_.context_.metrics_.add(granted ? counter::retries : counter::retries_denied);
    return granted;
}

void request_flow::on_deadline()
{
    const counted_ptr<request_flow> self(this);
    drop_attempt();
    answer_error(error_kind::deadline_exceeded, outcome::unknown,
                 "no answer within the caller's deadline");
}

void request_flow::relay(answer_message answer)
{
    deadline_timer_.cancel();
    owner_.context_.metrics_.add(counter::answers_relayed);
    caller_->complete(std::move(answer));
}

void request_flow::answer_error(error_kind kind, outcome result, std::string_view detail)
{
    deadline_timer_.cancel();
    owner_.context_.metrics_.add(counter::answers_made);
    const error_answer& row = answer_for(kind);
    const nlohmann::ordered_json body{
        {"error", row.name_}, {"outcome", to_string(result)}, {"detail", detail}, {"request", id_}};
    answer_message answer = json_answer(
        row.status_, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    answer.headers_.push_back(header{"Bamboohoist-Outcome", std::string(to_string(result))});
    answer.headers_.push_back(header{"Bamboohoist-Error", std::string(row.name_)});
    answer.headers_.push_back(header{"Bamboohoist-Request", id_});
    caller_->complete(std::move(answer));
}

void request_flow::abandon()
{
    const counted_ptr<request_flow> self(this);
    deadline_timer_.cancel();
    owner_.context_.metrics_.add(counter::callers_gone);
    drop_attempt();
}

void request_flow::drop_attempt()
{
    attempt_timer_.cancel();
    if (link_ == nullptr)
    {
        return;
    }
    link_->cancel(call_);
    link_ = nullptr;
    target_view& view = owner_.view_of(target_->id_);
    view.in_hand_ -= view.in_hand_ > 0 ? 1 : 0;
}

} // namespace bamboohoist
