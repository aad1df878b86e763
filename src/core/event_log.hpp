#ifndef BAMBOOHOIST_CORE_EVENT_LOG_HPP
#define BAMBOOHOIST_CORE_EVENT_LOG_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace bamboohoist {

/// A timestamp of a hybrid logical clock: wall time, and a counter that orders timestamps with the
/// same wall time.
struct hlc_timestamp
{
    std::int64_t wall_ms_ = 0;
    std::uint32_t logical_ = 0;

    auto operator<=>(const hlc_timestamp&) const = default;
};

/// Generates hybrid logical clock timestamps, which increase even when the wall clock is set back.
class hybrid_logical_clock
{
public:
    explicit hybrid_logical_clock(const clock_source& source);

    /// Returns a timestamp later than all those generated or observed before.
    hlc_timestamp tick();

    /// Advances the clock to a timestamp received from another process, if that is later.
    void observe(hlc_timestamp remote);

private:
    const clock_source& source_;
    hlc_timestamp last_;
};

/// One change of state, with the rule and the data that explain it.
struct event
{
    hlc_timestamp at_;
    std::string node_;
    std::string subject_;  ///< The target, node, revision or request that changed.
    std::string what_;     ///< The change.
    std::string rule_;     ///< The rule that caused the change.
    std::string evidence_; ///< The data that the rule evaluated.
    std::uint64_t revision_ = 0;
    std::string note_; ///< The day note in effect, if any.
};

/// A ring buffer with the latest events of this process. Used by the control thread only.
class event_log
{
public:
    event_log(hybrid_logical_clock& clock, std::string node, std::size_t capacity);

    /// Sets the timestamp and the node of the event and records it. Drops the oldest event when the
    /// ring buffer is full.
    const event& record(event entry);

    /// Returns the events after `since` whose subject contains `subject`, oldest first.
    std::vector<event> select(hlc_timestamp since, std::string_view subject) const;

private:
    hybrid_logical_clock& clock_;
    std::string node_;
    std::size_t capacity_;
    std::deque<event> events_;
};

} // namespace bamboohoist

#endif
