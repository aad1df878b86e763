#include "daemon/guard_job.hpp"

#include "daemon/guarded_target.hpp"
#include "policy/claim_shard.hpp"
#include "wire/request_codec.hpp"

#include <array>

namespace bamboohoist {

namespace {

constexpr int first_server_error_status = 500;
constexpr std::uint32_t max_stalls = 6;
/// The claim may take this share of the time left; the rest is for running.
constexpr double claim_time_share = 0.6;
/// How long a claimed request may go on after its caller's deadline, so that its answer is kept.
constexpr duration claimed_grace = std::chrono::seconds(10);
constexpr std::size_t max_kept_answer = 4096; ///< Bytes of the body.

/// What the end of a transfer says about the request, in the order of `transfer_end`.
struct end_row
{
    error_kind error_;
    outcome outcome_;
};

constexpr std::array<end_row, 6> end_table{{
    {error_kind::none, outcome::ran},
    {error_kind::target_unreachable, outcome::not_run},
    {error_kind::target_lost, outcome::unknown},
    {error_kind::deadline_exceeded, outcome::unknown},
    {error_kind::target_unreachable, outcome::not_run},
    {error_kind::response_too_large, outcome::ran},
}};

} // namespace

guard_job::guard_job(guard& owner, guarded_target& target, stream_call_ptr call,
                     forwarded_request work)
    : owner_(owner), target_(&target), call_(std::move(call)), work_(std::move(work)),
      ticket_(owner.next_ticket_++),
      fingerprint_(fingerprint_of(work_.service_, work_.message_.method_, work_.message_.target_,
                                  work_.message_.body_)),
      deadline_(owner.context_.clock_.now() + work_.time_left_),
      deadline_timer_(owner.context_.loop_, [this] { on_deadline(); })
{
    ++owner_.jobs_;
    const ref_ptr<guard_job> self(this);
    call_->on_abandoned([self] { self->cancel(); });
}

guard_job::~guard_job()
{
    --owner_.jobs_;
}

bool guard_job::needs_claim() const
{
    return !work_.key_.empty() && !work_.idempotent_;
}

void guard_job::claim()
{
    const auto share = std::chrono::duration_cast<duration>(time_left() * claim_time_share);
    const ref_ptr<guard_job> self(this);
    owner_.claims_.submit(make_record(claim_state::running), owner_.context_.clock_.now() + share,
                          [self](const claim_reply& reply) { self->on_claimed(reply); });
}

claim_record guard_job::make_record(claim_state state) const
{
    const service_spec& service = owner_.spec_of(work_.service_);
    claim_record record;
    record.key_ = claim_digest(work_.service_, work_.organisation_, work_.key_);
    record.fingerprint_ = fingerprint_;
    record.owner_ = work_.id_;
    record.attempt_ = work_.attempt_;
    record.state_ = state;
    record.expires_ms_ =
        owner_.context_.clock_.wall_ms() + std::int64_t{1000} * service.retention_s_;
    return record;
}

void guard_job::on_claimed(const claim_reply& reply)
{
    if (!reply.decided_)
    {
        owner_.context_.metrics_.add(counter::claims_refused);
        // The claim may have been written; nothing will come of it.
        owner_.claims_.submit_completion(make_record(claim_state::released));
        refuse(error_kind::store_unavailable, "the key could not be claimed in time");
        return;
    }
    if (reply.result_ == claim_result::refused)
    {
        answer_from(reply.current_record_);
        return;
    }
    owner_.context_.metrics_.add(counter::claims_granted);
    claimed_ = true;
    if (gone_)
    {
        refuse(error_kind::cancelled, "the caller went away before the request was run");
        return;
    }
    target_->admit(ref_ptr<guard_job>(this));
}

void guard_job::answer_from(const claim_record& present)
{
    owner_.context_.metrics_.add(counter::claims_replayed);
    forwarded_response made;
    made.outcome_ = outcome::unknown;
    if (present.fingerprint_ != fingerprint_)
    {
        made.error_ = error_kind::key_reused;
        made.outcome_ = outcome::not_run;
        made.detail_ = "the idempotency key was used for another request";
    }
    else if (present.state_ != claim_state::done)
    {
        made.error_ = error_kind::still_running;
        made.detail_ = "a request with this key is being run; ask again";
    }
    else if (!present.response_kept_)
    {
        made.error_ = error_kind::response_lost;
        made.outcome_ = present.ran_ ? outcome::ran : outcome::unknown;
        made.detail_ = "a request with this key has ended and its answer is not kept";
    }
    else
    {
        made.outcome_ = outcome::ran;
        made.message_ = present.response_;
    }
    answer(std::move(made));
}

void guard_job::end_claim(const forwarded_response& made)
{
    if (!claimed_)
    {
        return;
    }
    claimed_ = false;
    deadline_timer_.cancel();
    if (made.outcome_ == outcome::not_run)
    {
        owner_.claims_.submit_completion(make_record(claim_state::released));
        return;
    }
    claim_record ended = make_record(claim_state::done);
    ended.ran_ = made.outcome_ == outcome::ran;
    ended.response_kept_ =
        made.error_ == error_kind::none && made.message_.body_.size() <= max_kept_answer;
    if (ended.response_kept_)
    {
        ended.response_ = made.message_;
    }
    owner_.claims_.submit_completion(std::move(ended));
}

void guard_job::on_deadline()
{
    // The caller learns that nothing is known yet; a resend will find the answer.
    const ref_ptr<guard_job> self(this);
    forwarded_response made;
    made.error_ = error_kind::deadline_exceeded;
    made.outcome_ = outcome::unknown;
    made.detail_ = "no answer within the caller's deadline; the key keeps what becomes of it";
    answer(std::move(made));
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
    request.message_ = work_.message_;
    request.timeout_ = time_left();
    if (claimed_)
    {
        deadline_timer_.arm(time_left());
        request.timeout_ += claimed_grace;
    }
    request.fresh_connection_ = !work_.idempotent_;
    request.repeatable_ = work_.idempotent_;
    owner_.context_.deployment_.targets().add_request_headers(request.message_, call_terms());
    const ref_ptr<guard_job> self(this);
    transfer_ = target_->client().start(
        std::move(request), [self](transfer_result result) { self->on_end(std::move(result)); });
}

target_request_metadata guard_job::call_terms() const
{
    return {work_.id_, target_->target().instance_, work_.caller_service_, time_left()};
}

void guard_job::refuse(error_kind kind, std::string_view detail)
{
    forwarded_response made;
    made.error_ = kind;
    made.outcome_ = outcome::not_run;
    made.detail_ = std::string(detail);
    owner_.context_.metrics_.add(counter::guard_shed);
    tell("refused by guard", std::string(error_response_for(kind).name_) + ": " + made.detail_,
         "not-run");
    end_claim(made);
    answer(std::move(made));
}

std::uint64_t guard_job::ticket() const
{
    return ticket_;
}

instant guard_job::deadline() const
{
    return deadline_;
}

const forwarded_request& guard_job::work() const
{
    return work_;
}

bool guard_job::note_stall(instant now, duration limit)
{
    if (settling_ || stalls_ >= max_stalls || now - started_ < limit * (stalls_ + 1))
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

bool guard_job::trial() const
{
    return trial_;
}

void guard_job::set_trial(bool trial)
{
    trial_ = trial;
}

instant guard_job::started() const
{
    return started_;
}

void guard_job::on_end(transfer_result result)
{
    const duration held = owner_.context_.clock_.now() - started_;
    owner_.context_.metrics_.observe(latency::slot, held);
    if (result.end_ == transfer_end::lost)
    {
        on_lost(std::move(result));
        return;
    }
    running_ = false;
    if (result.end_ != transfer_end::complete)
    {
        tell("transfer failed", result.detail_,
             to_string(end_table[static_cast<std::size_t>(result.end_)].outcome_));
    }
    const observation seen = observe(result);
    forwarded_response made = to_answer(std::move(result));
    end_claim(made);
    target_->end(*this, seen);
    answer(std::move(made));
}

void guard_job::on_lost(transfer_result result)
{
    settling_ = true;
    tell("connection lost", result.detail_, "unknown");
    const ref_ptr<guard_job> self(this);
    target_->check_death([self, ended = std::move(result)](bool dead) {
        self->running_ = false;
        forwarded_response made = self->to_answer(ended);
        if (dead)
        {
            made.error_ = error_kind::target_crashed;
            made.detail_ = self->target_->target().id_ + " died with the request in hand";
        }
        self->end_claim(made);
        self->target_->end(*self, observation::lost);
        self->answer(std::move(made));
    });
}

observation guard_job::observe(const transfer_result& result) const
{
    const instant now = owner_.context_.clock_.now();
    const double held_ms = to_ms(now - started_);
    switch (result.end_)
    {
    case transfer_end::complete:
        if (result.response_.status_ >= first_server_error_status &&
            owner_.context_.call_failures_.attribute_error(work_.service_, now))
        {
            return observation::dependency_error;
        }
        return target_health::classify(held_ms, failed(result), work_.baseline_);
    case transfer_end::refused:
    case transfer_end::connect_timed_out:
        return observation::unreachable;
    case transfer_end::timed_out:
        // A short deadline of the caller says nothing about the target.
        return target_health::classify(held_ms, false, work_.baseline_);
    default:
        return observation::error;
    }
}

bool guard_job::failed(const transfer_result& result) const
{
    const response_kind meaning =
        owner_.context_.deployment_.targets().read(result.response_, call_terms());
    return meaning != response_kind::valid || result.response_.status_ >= first_server_error_status;
}

forwarded_response guard_job::to_answer(transfer_result result) const
{
    if (result.end_ == transfer_end::complete)
    {
        const response_kind meaning =
            owner_.context_.deployment_.targets().read(result.response_, call_terms());
        if (meaning != response_kind::valid)
        {
            return disown(meaning, result.response_.status_);
        }
    }
    const end_row& row = end_table[static_cast<std::size_t>(result.end_)];
    forwarded_response made;
    made.error_ = row.error_;
    made.outcome_ = row.outcome_;
    made.detail_ = row.error_ == error_kind::none ? "" : std::move(result.detail_);
    made.slot_ms_ = to_ms(owner_.context_.clock_.now() - started_);
    made.message_ = std::move(result.response_);
    std::erase_if(made.message_.headers_, [](const header& field) {
        return is_hop_by_hop_header(field.name_) &&
               !header_names_equal(field.name_, "Content-Length");
    });
    return made;
}

forwarded_response guard_job::disown(response_kind meaning, int status) const
{
    forwarded_response made;
    const bool unrun = meaning != response_kind::mismatched;
    made.error_ = unrun ? error_kind::target_refused : error_kind::target_lost;
    made.outcome_ = unrun ? outcome::not_run : outcome::unknown;
    made.slot_ms_ = to_ms(owner_.context_.clock_.now() - started_);
    made.detail_ = unrun ? "the target did not run the request, status " + std::to_string(status)
                         : "the target's answer is not the answer to this request";
    return made;
}

void guard_job::tell(std::string_view decision, std::string_view why, std::string_view result) const
{
    const target_load load = target_->load();
    const instant now = owner_.context_.clock_.now();
    request_decision entry;
    entry.request_ = work_.id_;
    entry.decision_ = decision;
    entry.outcome_ = result;
    entry.inputs_ = std::string(why) + "; target " + target_->target().id_ + " (" +
                    target_->target().incarnation_ + "), from " + work_.ingress_node_ +
                    ", attempt " + std::to_string(work_.attempt_) + ", left " +
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

void guard_job::answer(forwarded_response made)
{
    made.load_ = target_->load();
    made.weight_ = target_->weight();
    gone_ = true;
    call_->respond(encode_response(made));
}

void guard_job::cancel()
{
    owner_.context_.metrics_.add(counter::guard_cancelled);
    const ref_ptr<guard_job> self(this);
    gone_ = true;
    if (!running_)
    {
        target_->withdraw(*this);
        forwarded_response unrun;
        unrun.outcome_ = outcome::not_run;
        end_claim(unrun);
        return;
    }
    if (settling_ || claimed_)
    {
        return;
    }
    tell("cancelled", "the ingress gave the attempt up or its connection ended", "unknown");
    // Closes the connection: the target may notice, and no late answer can meet another request.
    target_->client().cancel(transfer_);
    running_ = false;
    target_->end_cancelled(*this);
}

duration guard_job::time_left() const
{
    return deadline_ - owner_.context_.clock_.now();
}

} // namespace bamboohoist
