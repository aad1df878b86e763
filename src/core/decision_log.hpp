#ifndef BAMBOOHOIST_CORE_DECISION_LOG_HPP
#define BAMBOOHOIST_CORE_DECISION_LOG_HPP

#include "core/clock.hpp"
#include "core/process_metrics.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohoist {

/// One decision about a request, as it goes into the log.
struct request_decision
{
    std::string_view request_;  ///< Identifier of the request.
    std::string_view decision_; ///< What was decided.
    std::string inputs_;        ///< What decided it, with ages and versions.
    std::string_view outcome_;  ///< What became of the request by this decision.
    std::uint64_t revision_ = 0;
};

/// Writes the decisions of one thread about requests to the log. Everything that goes wrong is
/// written, of what goes well a share that is the same requests on every node. Beyond a rate the
/// lines are counted and dropped, and the next line tells how many.
class decision_log
{
public:
    decision_log(std::string node, const clock_source& clock, process_metrics& metrics);

    /// True when decisions about this request are written although all goes well.
    static bool is_sampled(std::string_view request);

    void write(const request_decision& entry);

private:
    bool take_token();

    std::string node_;
    const clock_source& clock_;
    process_metrics& metrics_;
    double tokens_;
    instant refilled_;
    std::uint64_t suppressed_ = 0; ///< Since the last line.
};

} // namespace bamboohoist

#endif
