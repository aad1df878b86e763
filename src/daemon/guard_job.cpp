#include "daemon/guard_job.hpp"

#include "daemon/guarded_target.hpp"
#include "daemon/target_response.hpp"
#include "policy/claim_shard.hpp"
#include "wire/request_codec.hpp"

namespace bamboohoist {

namespace {

constexpr std::uint32_t max_counted_stalls = 6;
/// The claim may take this fraction of the remaining time; the rest is for running the request.
constexpr double claim_time_fraction = 0.6;
/// How long a claimed request may continue after its caller's deadline, so that its response can be
/// stored for a retry.
constexpr duration claimed_request_grace = std::chrono::seconds(10);
constexpr std::size_t max_kept_response_bytes = 4096; ///< Size of the body.

} // namespace

guard_job::guard_job(guard& owner, guarded_target& target, stream_call_ptr call,
                     forwarded_request request)
    : owner_(owner), target_(&target), call_(std::move(call)), request_(std::move(request)),
      body_charge_(owner.context_.loop_.memory(), memory_use::transit),
      ticket_(owner.next_ticket_++),
      fingerprint_(fingerprint_of(request_.service_, request_.message_.method_,
                                  request_.message_.target_, request_.message_.body_)),
      deadline_(owner.context_.clock_.now() + request_.time_left_),
      deadline_timer_(owner.context_.loop_, [this] { on_deadline(); })
{
    body_charge_.resize(request_.message_.body_.capacity());
    ++owner_.job_count_;
    target_->add_job();
    const ref_ptr<guard_job> self(this);
    call_->on_abandoned([self] { self->on_call_abandoned(); });
}

guard_job::~guard_job()
{
    --owner_.job_count_;
    target_->remove_job();
}

bool guard_job::needs_claim() const
{
    return !request_.idempotency_key_.empty() && !request_.idempotent_;
}

void guard_job::claim_key()
{
    const auto claim_time = std::chrono::duration_cast<duration>(time_left() * claim_time_fraction);
    const ref_ptr<guard_job> self(this);
    owner_.claim_router_.submit(make_claim_record(claim_state::running),
                                owner_.context_.clock_.now() + claim_time,
                                [self](const claim_reply& reply) { self->on_claim_reply(reply); });
}

claim_record guard_job::make_claim_record(claim_state state) const
{
    const service_spec& service = owner_.service_spec_of(request_.service_);
    claim_record record;
    record.key_ =
        claim_digest(request_.service_, request_.organisation_, request_.idempotency_key_);
    record.fingerprint_ = fingerprint_;
    record.owner_ = request_.id_;
    record.attempt_ = request_.attempt_;
    record.state_ = state;
    record.expires_ms_ =
        owner_.context_.clock_.wall_ms() + std::int64_t{1000} * service.retention_s_;
    return record;
}

void guard_job::on_claim_reply(const claim_reply& reply)
{
    if (!reply.decided_)
    {
        owner_.context_.metrics_.add(counter::claims_refused);
        // The claim may have been written nevertheless. It is released, since the request won't
        // run.
        owner_.claim_router_.submit_completion(make_claim_record(claim_state::released));
        refuse(error_kind::store_unavailable, "the idempotency key could not be claimed in time");
        return;
    }
    if (reply.result_ == claim_result::refused)
    {
        respond_from_claim(reply.current_record_);
        return;
    }
    owner_.context_.metrics_.add(counter::claims_granted);
    claimed_ = true;
    if (call_closed_)
    {
        refuse(error_kind::cancelled, "the caller disconnected before the request was run");
        return;
    }
    target_->admit(ref_ptr<guard_job>(this));
}

void guard_job::respond_from_claim(const claim_record& record)
{
    owner_.context_.metrics_.add(counter::claims_replayed);
    forwarded_response response;
    response.outcome_ = outcome::unknown;
    if (record.fingerprint_ != fingerprint_)
    {
        response.error_ = error_kind::key_reused;
        response.outcome_ = outcome::not_run;
        response.detail_ = "the idempotency key was used for another request";
    }
    else if (record.state_ != claim_state::done)
    {
        response.error_ = error_kind::still_running;
        response.detail_ =
            "a request with this idempotency key is still running; send it again later";
    }
    else if (!record.response_kept_)
    {
        response.error_ = error_kind::response_lost;
        response.outcome_ = record.ran_ ? outcome::ran : outcome::unknown;
        response.detail_ =
            "a request with this idempotency key has finished, but its response was not stored";
    }
    else
    {
        response.outcome_ = outcome::ran;
        response.message_ = record.response_;
    }
    respond(std::move(response));
}

void guard_job::complete_claim(const forwarded_response& response)
{
    if (!claimed_)
    {
        return;
    }
    claimed_ = false;
    deadline_timer_.cancel();
    if (response.outcome_ == outcome::not_run)
    {
        owner_.claim_router_.submit_completion(make_claim_record(claim_state::released));
        return;
    }
    claim_record record = make_claim_record(claim_state::done);
    record.ran_ = response.outcome_ == outcome::ran;
    record.response_kept_ = response.error_ == error_kind::none &&
                            response.message_.body_.size() <= max_kept_response_bytes;
    if (record.response_kept_)
    {
        record.response_ = response.message_;
    }
    owner_.claim_router_.submit_completion(std::move(record));
}

void guard_job::on_deadline()
{
    // The caller gets an unknown outcome. If it sends the request again, it gets the stored
    // response.
    const ref_ptr<guard_job> self(this);
    forwarded_response response;
    response.error_ = error_kind::deadline_exceeded;
    response.outcome_ = outcome::unknown;
    response.detail_ =
        "no response within the caller's deadline; the result is stored under the idempotency key";
    respond(std::move(response));
}

void guard_job::run()
{
    running_ = true;
    started_ = owner_.context_.clock_.now();
    owner_.context_.metrics_.add(counter::guard_admitted);
    send();
}

void guard_job::send()
{
    transfer_request request;
    request.server_ = target_->target().address_;
    // The body is moved, because it may be large and is not needed again.
    std::string body = std::move(request_.message_.body_);
    request_.message_.body_.clear();
    request.message_ = request_.message_;
    request.message_.body_ = std::move(body);
    body_charge_.resize(0);
    request.timeout_ = time_left();
    if (claimed_)
    {
        deadline_timer_.arm(time_left());
        request.timeout_ += claimed_request_grace;
    }
    request.fresh_connection_ = !request_.idempotent_;
    request.repeatable_ = request_.idempotent_;
    request.accept_head_ = [this](const response_message& head, bool reused_connection) {
        return owner_.context_.deployment_.targets().read(
                   head, make_request_metadata(reused_connection)) != response_kind::foreign;
    };
    owner_.context_.deployment_.targets().add_request_headers(request.message_,
                                                              make_request_metadata(false));
    const ref_ptr<guard_job> self(this);
    transfer_ = target_->client().start(std::move(request), [self](transfer_result result) {
        self->on_transfer_end(std::move(result));
    });
}

target_request_metadata guard_job::make_request_metadata(bool reused_connection) const
{
    return {request_.id_, target_->target().instance_, request_.caller_service_, time_left(),
            reused_connection};
}

void guard_job::refuse(error_kind kind, std::string_view detail)
{
    forwarded_response response;
    response.error_ = kind;
    response.outcome_ = outcome::not_run;
    response.detail_ = std::string(detail);
    owner_.context_.metrics_.add(counter::guard_shed);
    log_decision("refused by guard",
                 std::string(error_response_for(kind).name_) + ": " + response.detail_, "not-run");
    complete_claim(response);
    respond(std::move(response));
}

std::uint64_t guard_job::ticket() const
{
    return ticket_;
}

instant guard_job::deadline() const
{
    return deadline_;
}

const forwarded_request& guard_job::request() const
{
    return request_;
}

bool guard_job::count_stall(instant now, duration limit)
{
    if (checking_crash_ || stalls_ >= max_counted_stalls || now - started_ < limit * (stalls_ + 1))
    {
        return false;
    }
    ++stalls_;
    return true;
}

std::uint64_t guard_job::fingerprint() const
{
    return fingerprint_;
}

std::uint32_t guard_job::stalls() const
{
    return stalls_;
}

bool guard_job::is_trial() const
{
    return trial_;
}

void guard_job::set_trial(bool is_trial)
{
    trial_ = is_trial;
}

instant guard_job::started() const
{
    return started_;
}

duration guard_job::slot_time() const
{
    return (ended_ == instant{} ? owner_.context_.clock_.now() : ended_) - started_;
}

void guard_job::on_transfer_end(transfer_result result)
{
    ended_ = owner_.context_.clock_.now();
    owner_.context_.metrics_.observe(latency::slot, slot_time());
    if (result.end_ == transfer_end::lost)
    {
        owner_.context_.metrics_.add(counter::target_responses_cut, result.status_ != 0 ? 1 : 0);
        log_decision("connection lost", result.detail_ + describe_body(result), "unknown");
        check_target(std::move(result));
        return;
    }
    if (result.end_ == transfer_end::complete && result.framing_ == body_framing::connection_close)
    {
        // The kernel closes the connections of a process that dies in the same way.
        check_target(std::move(result));
        return;
    }
    finish(std::move(result));
}

void guard_job::finish(transfer_result result)
{
    running_ = false;
    const response_kind kind = read_kind(result);
    record_response(result, kind);
    const observation seen =
        classify_transfer(result, kind, to_ms(slot_time()), request_.baseline_, [this] {
            return owner_.context_.call_failures_.attribute_error(request_.service_,
                                                                  owner_.context_.clock_.now());
        });
    forwarded_response response = to_response(std::move(result), kind);
    complete_claim(response);
    target_->finish_job(*this, seen);
    respond(std::move(response));
}

void guard_job::record_response(const transfer_result& result, response_kind kind) const
{
    process_metrics& metrics = owner_.context_.metrics_;
    if (result.end_ == transfer_end::foreign)
    {
        metrics.add(counter::target_responses_foreign);
        log_decision("response rejected",
                     "it names another request, or none" + describe_body(result), "unknown");
        return;
    }
    if (result.end_ != transfer_end::complete)
    {
        log_decision("transfer failed", result.detail_ + describe_body(result),
                     to_string(outcome_of(result.end_)));
        return;
    }
    if (kind == response_kind::unproven)
    {
        metrics.add(counter::target_responses_unproven);
        log_decision("response rejected", "it is not proven to be whole" + describe_body(result),
                     "unknown");
    }
    else if (result.framing_ == body_framing::connection_close)
    {
        metrics.add(counter::target_responses_unframed);
        log_decision("response without a length",
                     "it ended with its connection" + describe_body(result), "ran");
    }
}

void guard_job::check_target(transfer_result result)
{
    checking_crash_ = true;
    const ref_ptr<guard_job> self(this);
    target_->check_for_crash([self, result = std::move(result)](process_state state) mutable {
        self->on_target_checked(std::move(result), state);
    });
}

void guard_job::on_target_checked(transfer_result result, process_state state)
{
    if (result.end_ == transfer_end::complete && state == process_state::alive)
    {
        finish(std::move(result));
        return;
    }
    if (result.end_ == transfer_end::complete)
    {
        owner_.context_.metrics_.add(counter::target_responses_cut);
        const std::string_view why =
            state == process_state::ended
                ? "the target's process ended with the connection that ends its response"
                : "the target can't be reached after the connection that ends its response";
        log_decision("connection lost", std::string(why) + describe_body(result), "unknown");
        result.end_ = transfer_end::lost;
    }
    running_ = false;
    forwarded_response response = to_response(std::move(result), response_kind::unproven);
    if (state == process_state::ended)
    {
        response.error_ = error_kind::target_crashed;
        response.detail_ = target_->target().id_ + " crashed while it ran the request";
    }
    complete_claim(response);
    target_->finish_job(*this, observation::lost);
    respond(std::move(response));
}

response_kind guard_job::read_kind(const transfer_result& result) const
{
    return owner_.context_.deployment_.targets().read(
        result.response_, make_request_metadata(result.reused_connection_));
}

forwarded_response guard_job::to_response(transfer_result result, response_kind kind) const
{
    forwarded_response response = make_target_response(std::move(result), kind);
    response.slot_ms_ = to_ms(slot_time());
    return response;
}

void guard_job::log_decision(std::string_view decision, std::string_view why,
                             std::string_view result) const
{
    const target_load load = target_->load();
    const instant now = owner_.context_.clock_.now();
    request_decision entry;
    entry.request_ = request_.id_;
    entry.decision_ = decision;
    entry.outcome_ = result;
    entry.inputs_ = std::string(why) + "; target " + target_->target().id_ + " (" +
                    target_->target().incarnation_ + "), from ingress node " +
                    request_.ingress_node_ + ", attempt " + std::to_string(request_.attempt_) +
                    ", rank " + to_string(request_.rank_) + ", time left " +
                    std::to_string(static_cast<long>(to_ms(time_left()))) + " ms, running " +
                    std::to_string(load.running_) + ", queued " + std::to_string(load.queued_) +
                    " of " + std::to_string(load.slots_);
    if (started_ != instant{})
    {
        entry.inputs_ +=
            ", sent " + std::to_string(static_cast<long>(to_ms(now - started_))) + " ms ago";
    }
    owner_.context_.decisions_.write(entry);
}

void guard_job::respond(forwarded_response response)
{
    response.load_ = target_->load();
    response.weight_ = target_->weight();
    call_closed_ = true;
    call_->respond(encode_response(std::move(response)));
}

void guard_job::on_call_abandoned()
{
    owner_.context_.metrics_.add(counter::guard_cancelled);
    const ref_ptr<guard_job> self(this);
    call_closed_ = true;
    if (!running_)
    {
        target_->withdraw(*this);
        forwarded_response response;
        response.outcome_ = outcome::not_run;
        complete_claim(response);
        return;
    }
    if (checking_crash_ || claimed_)
    {
        return;
    }
    log_decision("cancelled", "the ingress cancelled the attempt or its connection closed",
                 "unknown");
    // This closes the connection, so that the target may notice the cancellation, and a late
    // response cannot be taken for that of another request.
    target_->client().cancel(transfer_);
    running_ = false;
    target_->finish_cancelled_job(*this);
}

duration guard_job::time_left() const
{
    return deadline_ - owner_.context_.clock_.now();
}

} // namespace bamboohoist
