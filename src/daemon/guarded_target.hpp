#ifndef BAMBOOHOIST_DAEMON_GUARDED_TARGET_HPP
#define BAMBOOHOIST_DAEMON_GUARDED_TARGET_HPP

#include "daemon/guard_job.hpp"
#include "daemon/process_check.hpp"
#include "daemon/recent_senders.hpp"
#include "http/http_client.hpp"
#include "policy/baseline_estimator.hpp"

#include <map>
#include <string>
#include <vector>

namespace bamboohoist {

/// One target of this VM: its slots, its queue, its jobs and its health.
class guarded_target
{
public:
    guarded_target(guard& owner, local_target target, const service_spec& service);
    ~guarded_target();

    /// Admits or refuses a new job. The idempotency key of a job is claimed before it is admitted.
    void submit(const ref_ptr<guard_job>& job);

    /// Gives a job a slot or a place in the queue, or refuses it.
    void admit(const ref_ptr<guard_job>& job);

    /// Takes back the slot of a job that has finished, and records what it showed about the target.
    void finish_job(guard_job& job, observation seen);

    /// Takes back the slot of a job that was cancelled.
    void finish_cancelled_job(guard_job& job);

    /// Finds out whether the target process has died, after the connection of a running job was
    /// lost. The job keeps its slot until `on_checked` finishes it.
    void check_for_crash(process_check::callback on_checked);

    /// Removes a job from the queue.
    void withdraw(guard_job& job);

    void update(const local_target& target);
    void set_limits(const service_spec& service);

    /// Stops sending new requests to the target, because it is no longer announced.
    void retire();

    /// Client with the connections to the target, limited to what its service allows.
    http_client& client();

    /// Counts a job that refers to this target, from its creation to its deletion.
    void add_job();
    void remove_job();

    const local_target& target() const;
    const service_baseline& baseline() const;
    target_load load() const;
    double weight() const;

    /// True when no job refers to this target. A job whose idempotency key is being claimed is
    /// neither queued nor running.
    bool is_idle() const;

private:
    using job_map = std::map<std::uint64_t, ref_ptr<guard_job>>;

    /// Refuses a queued job that was shed to make space for another.
    void refuse_displaced(std::uint64_t ticket, const guard_job& added, bool by_rank);
    bool refuse_crash_suspect(guard_job& job);
    bool admit_trial(guard_job& job);
    void refute_stalls(const guard_job& job);
    void end_trial(const guard_job& job, bool good);
    void run(const ref_ptr<guard_job>& job);
    /// `representative`: whether the time in the slot shows how long requests take at this target.
    void release_slot(guard_job& job, bool representative);
    void update_stalled_count();
    void start_queued();
    /// Refuses all queued jobs, so that their ingresses can send them to other targets.
    void refuse_queued(error_kind kind, std::string_view why);
    void refuse_expired();
    void arm_expiry();
    void observe(observation seen);
    void tick();
    void report_health_change(std::string_view rule);
    void report_crash(std::vector<std::uint64_t> suspects);
    std::vector<std::uint64_t> fingerprints_in_flight() const;

    guard& owner_;
    local_target target_;
    http_client client_;
    process_check process_check_;
    admission_controller admission_;
    target_health health_;
    baseline_merger baseline_;
    job_map queued_;
    job_map running_;
    recent_senders senders_;
    std::string crashed_incarnation_; ///< The last one whose crash was reported.
    double reported_weight_ = 1.0;
    std::size_t job_count_ = 0;
    bool ticking_ = false;
    timer expiry_timer_;
    timer tick_timer_;
};

} // namespace bamboohoist

#endif
