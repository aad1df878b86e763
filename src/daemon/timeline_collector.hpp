#ifndef BAMBOOHOIST_DAEMON_TIMELINE_COLLECTOR_HPP
#define BAMBOOHOIST_DAEMON_TIMELINE_COLLECTOR_HPP

#include "daemon/membership.hpp"

#include <functional>

namespace bamboohoist {

/// The events of all reachable nodes in one order.
struct merged_events
{
    std::vector<event> events_;            ///< By hybrid logical clock, oldest first.
    std::vector<std::string> unreachable_; ///< Nodes that did not reply.
};

/// Collects the events of all nodes for the time line.
class timeline_collector
{
public:
    using callback = std::function<void(merged_events)>;

    timeline_collector(const control_context& context, control_link& link, membership& members);

    /// Requests from every alive or suspect member the events after `since` whose subject contains
    /// `subject`; the callback runs once all have replied or timed out.
    void collect(hlc_timestamp since, std::string_view subject, callback on_end);

private:
    struct collection; ///< State of one call of `collect()`.

    std::optional<std::string> handle_request(std::string_view body);

    const control_context& context_;
    control_link& link_;
    membership& members_;
};

} // namespace bamboohoist

#endif
