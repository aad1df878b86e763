#ifndef BAMBOOHOIST_DAEMON_TRAFFIC_THREAD_HPP
#define BAMBOOHOIST_DAEMON_TRAFFIC_THREAD_HPP

#include "daemon/traffic_context.hpp"
#include "loop/loop_thread.hpp"

namespace bamboohoist {

/// A traffic thread: its event loop, its random source and the component that runs on it.
template <typename Component>
class traffic_thread
{
public:
    template <typename... Arguments>
    traffic_thread(const settings& node_settings, const clock_source& clock,
                   process_metrics& metrics, const deployment& node_deployment,
                   call_failures& failures, memory_account& memory, std::uint64_t seed,
                   Arguments&&... arguments)
        : loop_(metrics, &memory), random_(seed),
          decisions_(node_settings.node_, clock, metrics), context_{node_settings, loop_,
                                                                    clock,         random_,
                                                                    metrics,       node_deployment,
                                                                    decisions_,    failures},
          component_(context_, std::forward<Arguments>(arguments)...),
          supervisor_(std::string(component_.name()) + "-thread", restart_strategy::one_for_one, {},
                      clock),
          thread_(loop_, supervisor_)
    {
        supervisor_.add(component_);
    }

    event_loop& loop()
    {
        return loop_;
    }

    Component& component()
    {
        return component_;
    }

    child& thread()
    {
        return thread_;
    }

private:
    event_loop loop_;
    random_source random_;
    decision_log decisions_;
    traffic_context context_;
    Component component_;
    supervisor supervisor_;
    loop_thread thread_;
};

} // namespace bamboohoist

#endif
