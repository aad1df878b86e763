#ifndef BAMBOOHOIST_DAEMON_GUARDED_TARGET_HPP
#define BAMBOOHOIST_DAEMON_GUARDED_TARGET_HPP

#include "core/lifetime.hpp"
#include "daemon/guard_job.hpp"
#include "http/http_client.hpp"
#include "policy/baseline_estimator.hpp"

#include <map>
#include <string>
#include <vector>

namespace bamboohoist {

/// One target of this VM with its slots, its queue, the jobs in hand and the verdict on it.
class guarded_target
{
public:
    guarded_target(guard& owner, local_target target, const service_spec& service);
    ~guarded_target();

    /// Takes a new job in, or has it refused. A job with an idempotency key is claimed first.
    void submit(const ref_ptr<guard_job>& job);

    /// Takes a job into a slot or the queue, or has it refused.
    void admit(const ref_ptr<guard_job>& job);

    /// A job that held a slot has ended and showed this about the target.
    void end(guard_job& job, observation seen);

    /// A job that held a slot was cancelled.
    void end_cancelled(guard_job& job);

    /// The connection of a running job was lost: finds out whether the target died. The job is
    /// still in its slot; `on_known` ends it.
    void check_death(std::function<void(bool dead)> on_known);

    /// A queued job is no longer wanted.
    void withdraw(guard_job& job);

    void update(const local_target& target);
    void set_limits(const service_spec& service);

    /// The target is no longer announced: it gets no new work.
    void retire();

    /// The connections to the target, no more than its service allows.
    http_client& client();

    const local_target& target() const;
    const service_baseline& baseline() const;
    target_load load() const;
    double weight() const;
    bool idle() const;

private:
    using job_map = std::map<std::uint64_t, ref_ptr<guard_job>>;

    bool refuse_suspect(guard_job& job);
    bool admit_trial(guard_job& job);
    void end_trial(const guard_job& job, bool good);
    void run(const ref_ptr<guard_job>& job);
    /// `typical` when the time in the slot tells how long requests take here.
    void release(guard_job& job, bool typical);
    void count_stalled();
    void start_next();
    /// Work that waits for a target which gets no more can still go elsewhere.
    void refuse_queued(error_kind kind, std::string_view why);
    void drop_expired();
    void arm_expiry();
    void observe(observation seen);
    void tick();
    void report_verdict(std::string_view rule);
    void note_sender(std::string_view node);
    void on_death(std::vector<std::uint64_t> blamed);
    std::vector<std::uint64_t> fingerprints_in_hand() const;

    guard& owner_;
    local_target target_;
    http_client client_;
    admission_controller admission_;
    target_health health_;
    baseline_merger baseline_;
    job_map queued_;
    job_map running_;
    std::vector<std::string> senders_; ///< Nodes that sent work lately, the newest last.
    std::vector<std::function<void(bool)>> death_waiters_;
    std::vector<std::uint64_t> in_hand_at_loss_;
    std::string dead_incarnation_; ///< Whose death was reported already.
    double reported_weight_ = 1.0;
    bool ticking_ = false;
    timer expiry_timer_;
    timer tick_timer_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
