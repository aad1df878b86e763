#ifndef BAMBOOHOIST_DAEMON_CONTROL_CONTEXT_HPP
#define BAMBOOHOIST_DAEMON_CONTROL_CONTEXT_HPP

#include "config/settings.hpp"
#include "core/event_log.hpp"
#include "core/log.hpp"
#include "core/process_metrics.hpp"
#include "core/random_source.hpp"
#include "loop/event_loop.hpp"
#include "protocol/deployment.hpp"

namespace bamboohoist {

/// References to what all components on the control thread share.
struct control_context
{
    const settings& settings_;
    event_loop& loop_;
    const clock_source& clock_;
    random_source& random_;
    process_metrics& metrics_;
    hybrid_logical_clock& hybrid_clock_;
    event_log& events_;
    const deployment& deployment_;

    /// Records an event and writes its log line.
    void record(event entry) const
    {
        metrics_.add(counter::events_recorded);
        log_event(events_.record(std::move(entry)));
    }
};

} // namespace bamboohoist

#endif
