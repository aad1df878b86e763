#ifndef BAMBOOHOIST_DAEMON_RESPONSE_STATISTICS_HPP
#define BAMBOOHOIST_DAEMON_RESPONSE_STATISTICS_HPP

#include "daemon/ingress.hpp"

namespace bamboohoist {

/// A guard's response to one attempt, and what the ingress knows of the attempt.
struct attempt_response
{
    const forwarded_response& response_;
    instant sent_;
    instant received_;
    bool trial_ = false; ///< Sent as the trial of an ejected target.
};

/// Records what a response says about its target.
void record_response(const attempt_response& attempt, target_stats& target);

/// Records what a response says about its route. `baseline` holds the typical values so far.
void record_response(const attempt_response& attempt, const service_baseline& baseline,
                     route_stats& route);

} // namespace bamboohoist

#endif
