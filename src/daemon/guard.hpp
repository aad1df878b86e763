#ifndef BAMBOOHOIST_DAEMON_GUARD_HPP
#define BAMBOOHOIST_DAEMON_GUARD_HPP

#include "core/hash.hpp"
#include "daemon/claim_router.hpp"
#include "daemon/quota_owner.hpp"
#include "daemon/traffic_context.hpp"
#include "policy/admission_controller.hpp"
#include "policy/crash_history.hpp"
#include "policy/fleet.hpp"
#include "policy/forwarded_request.hpp"
#include "policy/local_target.hpp"
#include "wire/stream_server.hpp"

#include <memory>
#include <span>
#include <string>
#include <unordered_map>

namespace bamboohoist {

class guard_job;
class guarded_target;

/// A change of the health weight of one target, with the reason.
struct target_health_change
{
    std::string target_;
    double weight_ = 1.0; ///< 0 to 1; 0 is ejected.
    std::string rule_;
    std::string evidence_;
    std::vector<std::string> senders_; ///< Nodes that recently sent it requests.
};

/// The crash of a target process and the requests that were running in it.
struct target_crash
{
    std::string crash_id_; ///< Target and incarnation, which identify the crash.
    std::string service_;
    std::vector<std::uint64_t> suspects_;    ///< Fingerprints of the running requests.
    std::vector<std::uint64_t> quarantined_; ///< Suspects of two crashes, quarantined by this one.
};

/// Receives what a guard reports to the control thread. Called on the guard's thread.
class guard_listener
{
public:
    virtual ~guard_listener() = default;
    virtual void on_health_changed(target_health_change change) = 0;
    virtual void on_crash(target_crash crash) = 0;
};

/// Stands in front of this VM's targets. Every request to a target passes through it, so it knows
/// which requests ran and which did not.
class guard : public child
{
public:
    guard(const traffic_context& context, guard_listener& listener);
    ~guard() override;

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    void set_fleet(fleet_ptr fleet);
    void set_targets(std::span<const local_target> targets);

    /// Records that a target of another node crashed while it ran these requests.
    void record_remote_crash(std::string_view crash_id, std::span<const std::uint64_t> suspects);

    /// Ends the quarantine of a request, by order of an operator.
    void release(std::uint64_t fingerprint);

    /// Refuses every call that arrives from now on, because the process ends. The senders know that
    /// these requests did not run.
    void refuse_new_calls();

    std::uint16_t port() const;

    /// Requests without a response yet, plus completions of claims not yet written to the store.
    std::size_t in_flight() const;

private:
    friend class guard_job;
    friend class guarded_target;

    void on_call(const stream_call_ptr& call);
    void on_claim_call(const stream_call_ptr& call);
    /// Records the crash of a target of this VM and reports it to the control thread.
    void report_crash(const local_target& target, std::vector<std::uint64_t> suspects);
    guarded_target* find_target(std::string_view id);
    /// Refuses a call whose body did not fit into memory.
    void refuse_for_memory(const stream_call_ptr& call);
    void refuse(const stream_call_ptr& call, error_kind kind, std::string_view detail);
    const service_spec& service_spec_of(std::string_view service) const;

    const traffic_context& context_;
    guard_listener& listener_;
    std::uint64_t next_ticket_ = 1;
    std::size_t job_count_ = 0;
    // Destroyed after the server and the claims, which hold jobs that refer to a target.
    std::unordered_map<std::string, std::unique_ptr<guarded_target>, string_view_hash,
                       std::equal_to<>>
        targets_;
    stream_server server_;
    fleet_ptr fleet_;
    crash_history crash_history_;
    claim_router claim_router_;
    quota_owner quota_owner_;
    bool ends_ = false; ///< Set by `refuse_new_calls()`.
};

} // namespace bamboohoist

#endif
