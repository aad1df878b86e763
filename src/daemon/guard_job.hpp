#ifndef BAMBOOHOIST_DAEMON_GUARD_JOB_HPP
#define BAMBOOHOIST_DAEMON_GUARD_JOB_HPP

#include "daemon/guard.hpp"
#include "daemon/process_check.hpp"
#include "loop/timer.hpp"

namespace bamboohoist {

/// One attempt that a guard handles, from its arrival to its response.
class guard_job : public ref_counted_local<guard_job>
{
public:
    guard_job(guard& owner, guarded_target& target, stream_call_ptr call,
              forwarded_request request);
    ~guard_job();

    /// True when the request may run at most once and has an idempotency key.
    bool needs_claim() const;

    /// Claims the key in the store; admits the job, or responds, when the result arrives.
    void claim_key();

    /// Sends the request to the target. The job must hold a slot.
    void run();

    /// Responds with an error; the request was not run.
    void refuse(error_kind kind, std::string_view detail);

    /// Counts a stall and returns true when the job has waited for one more stall limit. The count
    /// is bounded, because a single long request does not prove that the target stalls.
    bool count_stall(instant now, duration limit);

    std::uint64_t ticket() const;
    std::uint64_t fingerprint() const;
    std::uint32_t stalls() const;

    /// Whether this job is the trial of an ejected target.
    bool is_trial() const;
    void set_trial(bool is_trial);
    instant deadline() const;
    instant started() const;

    /// From taking the slot to the end of the transfer, or until now.
    duration slot_time() const;
    const forwarded_request& request() const;

private:
    claim_record make_claim_record(claim_state state) const;
    void on_claim_reply(const claim_reply& reply);
    void respond_from_claim(const claim_record& record);
    void complete_claim(const forwarded_response& response);
    void on_deadline();
    void send();
    void on_transfer_end(transfer_result result);
    void record_response(const transfer_result& result, response_kind kind) const;
    void check_target(transfer_result result);
    void on_target_checked(transfer_result result, process_state state);
    void finish(transfer_result result);
    target_request_metadata make_request_metadata(bool reused_connection) const;
    response_kind read_kind(const transfer_result& result) const;
    forwarded_response to_response(transfer_result result, response_kind kind) const;
    void respond(forwarded_response response);
    void log_decision(std::string_view decision, std::string_view why,
                      std::string_view result) const;
    void on_call_abandoned();
    duration time_left() const;

    guard& owner_;
    guarded_target* target_;
    stream_call_ptr call_;
    forwarded_request request_; ///< Without its body once that is on its way to the target.
    memory_charge body_charge_;
    std::uint64_t ticket_;
    std::uint64_t fingerprint_;
    instant deadline_;
    instant started_;
    instant ended_; ///< Of the transfer.
    std::uint32_t stalls_ = 0;
    timer deadline_timer_; ///< For claimed requests, which continue after the caller's deadline.
    bool claimed_ = false;
    bool trial_ = false;       ///< Tests whether an ejected target has recovered.
    bool call_closed_ = false; ///< The response was sent, or the call was abandoned.
    bool running_ = false;
    bool checking_crash_ =
        false; ///< The connection has ended; waits to know whether the target crashed.
    http_client::transfer_id transfer_ = 0;
};

} // namespace bamboohoist

#endif
