#ifndef BAMBOOHOIST_CORE_EVENT_LOG_HPP
#define BAMBOOHOIST_CORE_EVENT_LOG_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace bamboohoist {

/// A hybrid logical clock stamp: wall time that never runs behind a stamp already seen.
struct hlc_timestamp
{
    std::int64_t wall_ms_ = 0;
    std::uint32_t logical_ = 0;

    auto operator<=>(const hlc_timestamp&) const = default;
};

/// Hands out hybrid logical clock stamps.
class hybrid_logical_clock
{
public:
    explicit hybrid_logical_clock(const clock_source& source);

    /// A stamp after every stamp handed out or observed before.
    hlc_timestamp tick();

    /// Takes a stamp received from another process into account.
    void observe(hlc_timestamp remote);

private:
    const clock_source& source_;
    hlc_timestamp last_;
};

/// One change of state, told so that it explains itself.
struct event
{
    hlc_timestamp at_;
    std::string node_;
    std::string subject_;  ///< The target, node, revision or request that changed.
    std::string what_;     ///< The change.
    std::string rule_;     ///< The rule that decided it.
    std::string evidence_; ///< The figures that the rule looked at.
    std::uint64_t revision_ = 0;
    std::string note_; ///< Day note that applied, when there was one.
};

/// A bounded ring of the events of this process. Owned by the control thread.
class event_log
{
public:
    event_log(hybrid_logical_clock& clock, std::string node, std::size_t capacity);

    /// Records the event under a new stamp; the oldest is dropped when the ring is full.
    const event& record(event entry);

    /// The events after `since` whose subject contains `subject`, oldest first.
    std::vector<event> select(hlc_timestamp since, std::string_view subject) const;

private:
    hybrid_logical_clock& clock_;
    std::string node_;
    std::size_t capacity_;
    std::deque<event> events_;
};

} // namespace bamboohoist

#endif
