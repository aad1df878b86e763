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

/// The end of one request as its caller saw it.
enum class load_outcome
{
    complete, ///< The target's answer to this very request.
    wrong,    ///< An answer that belongs to another request, or is cut short.
    not_run,  ///< Told that it was not run.
    unknown,  ///< Told that it may have run.
    failed,   ///< Another status of the target.
    lost,     ///< No answer.
};

/// Counts and latencies of one run.
struct load_result
{
    std::map<load_outcome, std::uint64_t> outcomes_;
    std::map<std::string, std::uint64_t> errors_; ///< By error name or status.
    std::map<std::string, latency_samples> latencies_by_kind_;
    std::map<std::string, std::uint64_t> complete_by_organisation_;
    latency_samples latencies_; ///< From the planned arrival to the last answer.
    std::map<std::string, load_outcome> outcomes_by_key_; ///< The last end of each keyed request.
    std::vector<std::string> reported_not_run_;           ///< Requests (by our identifier) told so.
    std::uint64_t sends_ = 0;                             ///< Resends included.
    double elapsed_s_ = 0.0;
};

/// Sends the requests of a plan at their planned times and counts how they end. A late send does
/// not move the planned time, from which latency is measured.
class load_runner
{
public:
    load_runner(event_loop& loop, const load_plan& plan, std::uint64_t seed);

    /// Runs the whole plan on this thread.
    load_result run();

private:
    struct request;
    using request_ptr = ref_ptr<request>;

    void arrive();
    request_ptr make_request(instant planned);
    void send(const request_ptr& item);
    void on_end(const request_ptr& item, const transfer_result& ended);
    bool may_resend(const request& item, load_outcome end) const;
    void resend(const request_ptr& item);
    void finish(const request_ptr& item, load_outcome end);

    event_loop& loop_;
    const load_plan& plan_;
    random_source random_;
    system_clock clock_;
    http_client client_;
    timer arrival_timer_;
    load_result result_;
    instant begin_;
    std::uint64_t arrived_ = 0;
    std::uint64_t planned_ = 0;
    std::uint64_t ended_ = 0;
    std::string run_name_; ///< Keeps the keys and tags of two runs apart.
};

/// The name of an end in reports.
std::string_view to_string(load_outcome end);

} // namespace bamboohoist

#endif
