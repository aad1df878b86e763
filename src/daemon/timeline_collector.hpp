#ifndef BAMBOOHOIST_DAEMON_TIMELINE_COLLECTOR_HPP
#define BAMBOOHOIST_DAEMON_TIMELINE_COLLECTOR_HPP

#include "daemon/membership.hpp"

#include <functional>

namespace bamboohoist {

/// Events of all reachable processes in one order.
struct merged_events
{
    std::vector<event> events_;            ///< By hybrid logical clock, oldest first.
    std::vector<std::string> unreachable_; ///< Nodes that did not answer.
};

/// Collects the events of all nodes.
class timeline_collector
{
public:
    using callback = std::function<void(merged_events)>;

    timeline_collector(const control_context& context, control_link& link, membership& members);

    /// Asks every present member for its events after `since` about `subject` (empty for all).
    void collect(hlc_timestamp since, std::string_view subject, callback on_end);

private:
    struct collection;

    std::optional<std::string> answer(std::string_view body);

    const control_context& context_;
    control_link& link_;
    membership& members_;
};

} // namespace bamboohoist

#endif
