#ifndef BAMBOOHOIST_DAEMON_GUARD_JOB_HPP
#define BAMBOOHOIST_DAEMON_GUARD_JOB_HPP

#include "daemon/guard.hpp"
#include "loop/timer.hpp"

namespace bamboohoist {

/// One attempt in the hands of a guard, from its arrival to its answer.
class guard_job : public counted_local<guard_job>
{
public:
    guard_job(guard& owner, guarded_target& target, stream_call_ptr call, work_request work);
    ~guard_job();

    /// Sends the request to the target. The job holds a slot.
    void run();

    /// Answers without having run.
    void refuse(error_kind kind, std::string_view detail);

    std::uint64_t ticket() const;
    instant deadline() const;
    const work_request& work() const;

private:
    void on_end(transfer_result result);
    work_answer to_answer(transfer_result result) const;
    void answer(work_answer made);
    void cancel();
    duration time_left() const;

    guard& owner_;
    guarded_target* target_; ///< Null once the job has left it.
    stream_call_ptr call_;
    work_request work_;
    std::uint64_t ticket_;
    instant deadline_;
    instant started_;
    bool running_ = false;
    http_client::transfer_id transfer_ = 0;
};

} // namespace bamboohoist

#endif
