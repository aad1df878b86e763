#ifndef BAMBOOHOIST_CORE_DECISION_LOG_HPP
#define BAMBOOHOIST_CORE_DECISION_LOG_HPP

#include "core/clock.hpp"
#include "core/process_metrics.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohoist {

/// One decision about a request, as written to the log.
struct request_decision
{
    std::string_view request_;  ///< Request identifier.
    std::string_view decision_; ///< What was decided.
    std::string inputs_;        ///< The data behind the decision, with ages and versions.
    std::string_view outcome_;  ///< The effect of the decision on the request.
    std::uint64_t revision_ = 0;
};

/// Writes one thread's decisions about requests to the log. Callers write all decisions about
/// requests that failed or were retried, and the others only when `is_sampled()`; every node
/// samples the same requests. Lines above the rate limit are dropped and counted, and the next line
/// contains the number of dropped lines.
class decision_log
{
public:
    decision_log(std::string node, const clock_source& clock, process_metrics& metrics);

    /// Returns true when decisions about this request are written even if it succeeds.
    static bool is_sampled(std::string_view request);

    /// Writes the decision unless the rate limit is exceeded.
    void write(const request_decision& entry);

private:
    bool take_token();

    std::string node_;
    const clock_source& clock_;
    process_metrics& metrics_;
    double tokens_;
    instant refilled_;
    std::uint64_t suppressed_ = 0; ///< Lines dropped since the last written line.
};

} // namespace bamboohoist

#endif
