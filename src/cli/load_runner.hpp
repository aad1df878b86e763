#ifndef BAMBOOHOIST_CLI_LOAD_RUNNER_HPP
#define BAMBOOHOIST_CLI_LOAD_RUNNER_HPP

#include "cli/latency_samples.hpp"
#include "cli/load_plan.hpp"
#include "core/random_source.hpp"
#include "core/ref_counted.hpp"
#include "http/http_client.hpp"
#include "loop/timer.hpp"

#include <map>
#include <memory>

namespace bamboohoist {

/// The outcome of one request as its caller sees it.
enum class load_outcome
{
    complete, ///< The target's response to this request.
    wrong,    ///< A response that belongs to another request or is truncated.
    not_run,  ///< Reported as not run.
    unknown,  ///< Reported as possibly run.
    failed,   ///< A response of the target with another status than 200.
    lost,     ///< No response.
};

/// Counts and latencies of one run.
struct load_result
{
    std::map<load_outcome, std::uint64_t> outcomes_;
    std::map<std::string, std::uint64_t> errors_; ///< By error kind, status or transfer failure.
    std::map<std::string, latency_samples> latencies_by_kind_;
    std::map<std::string, std::uint64_t> complete_by_organisation_;
    latency_samples latencies_; ///< From the planned time to the last response.
    std::map<std::string, load_outcome> outcomes_by_key_; ///< Of requests with a key.
    std::vector<std::string> reported_not_run_; ///< Ids of keyed requests reported as not run.
    std::uint64_t sends_ = 0;                   ///< Includes resends.
    double elapsed_s_ = 0.0;
};

/// Sends the requests of a plan at their planned times and counts their outcomes. Latency is
/// measured from the planned time, also when a request is sent late.
class load_runner
{
public:
    load_runner(event_loop& loop, const load_plan& plan, std::uint64_t seed);

    /// Runs the complete plan on the calling thread.
    load_result run();

private:
    struct request;
    using request_ptr = ref_ptr<request>;

    void send_due_requests();
    request_ptr make_request(instant planned);
    void send(const request_ptr& item);
    void on_transfer_end(const request_ptr& item, const transfer_result& ended);
    bool may_resend(const request& item, load_outcome request_outcome) const;
    void resend(const request_ptr& item);
    void finish(const request_ptr& item, load_outcome request_outcome);

    event_loop& loop_;
    const load_plan& plan_;
    random_source random_;
    system_clock clock_;
    http_client client_;
    timer arrival_timer_;
    load_result result_;
    instant start_time_;
    std::uint64_t started_count_ = 0;
    std::uint64_t request_count_ = 0;
    std::uint64_t ended_count_ = 0;
    std::string run_id_; ///< Makes the keys and tags of different runs distinct.
};

/// Returns the name of an outcome in reports.
std::string_view to_string(load_outcome request_outcome);

} // namespace bamboohoist

#endif
