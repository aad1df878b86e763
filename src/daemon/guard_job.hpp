#ifndef BAMBOOHOIST_DAEMON_GUARD_JOB_HPP
#define BAMBOOHOIST_DAEMON_GUARD_JOB_HPP

#include "daemon/guard.hpp"
#include "loop/timer.hpp"

namespace bamboohoist {

/// One attempt in the hands of a guard, from its arrival to its answer.
class guard_job : public ref_counted_local<guard_job>
{
public:
    guard_job(guard& owner, guarded_target& target, stream_call_ptr call, forwarded_request work);
    ~guard_job();

    /// True when the request may run at most once and names a key.
    bool needs_claim() const;

    /// Claims the key in the store and goes on with what that brings.
    void claim();

    /// Sends the request to the target. The job holds a slot.
    void run();

    /// Answers without having run.
    void refuse(error_kind kind, std::string_view detail);

    /// True when the job has waited for its answer for one more stall limit. Counted only a few
    /// times, because a single long request is no proof.
    bool note_stall(instant now, duration limit);

    std::uint64_t ticket() const;
    std::uint64_t fingerprint() const;
    std::uint32_t stalls() const;

    /// Whether it is the trial of an ejected target.
    bool trial() const;
    void set_trial(bool trial);
    instant deadline() const;
    instant started() const;
    const forwarded_request& work() const;

private:
    claim_record make_record(claim_state state) const;
    void on_claimed(const claim_reply& reply);
    void answer_from(const claim_record& present);
    void end_claim(const forwarded_response& made);
    void on_deadline();
    void send();
    void on_end(transfer_result result);
    void on_lost(transfer_result result);
    observation observe(const transfer_result& result) const;
    target_request_metadata call_terms() const;
    bool failed(const transfer_result& result) const;
    forwarded_response to_answer(transfer_result result) const;
    forwarded_response disown(response_kind meaning, int status) const;
    void answer(forwarded_response made);
    void tell(std::string_view decision, std::string_view why, std::string_view result) const;
    void cancel();
    duration time_left() const;

    guard& owner_;
    guarded_target* target_;
    stream_call_ptr call_;
    forwarded_request work_;
    std::uint64_t ticket_;
    std::uint64_t fingerprint_;
    instant deadline_;
    instant started_;
    std::uint32_t stalls_ = 0;
    timer deadline_timer_; ///< Of a claimed request, which goes on after its caller's deadline.
    bool claimed_ = false;
    bool trial_ = false; ///< It finds out whether an ejected target works again.
    bool gone_ = false;  ///< The caller has its answer or is away.
    bool running_ = false;
    bool settling_ = false; ///< The transfer has ended; its meaning is not known yet.
    http_client::transfer_id transfer_ = 0;
};

} // namespace bamboohoist

#endif
