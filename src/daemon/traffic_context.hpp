#ifndef BAMBOOHOIST_DAEMON_TRAFFIC_CONTEXT_HPP
#define BAMBOOHOIST_DAEMON_TRAFFIC_CONTEXT_HPP

#include "config/settings.hpp"
#include "core/decision_log.hpp"
#include "core/process_metrics.hpp"
#include "core/random_source.hpp"
#include "loop/event_loop.hpp"
#include "policy/call_failures.hpp"
#include "protocol/deployment.hpp"

namespace bamboohoist {

/// What the components on one traffic thread share. It owns none of it.
struct traffic_context
{
    const settings& settings_;
    event_loop& loop_;
    const clock_source& clock_;
    random_source& random_;
    process_metrics& metrics_;
    const deployment& deployment_;
    decision_log& decisions_;
    call_failures& call_failures_; ///< Shared by all traffic threads.
};

} // namespace bamboohoist

#endif
