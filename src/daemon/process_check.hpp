#ifndef BAMBOOHOIST_DAEMON_PROCESS_CHECK_HPP
#define BAMBOOHOIST_DAEMON_PROCESS_CHECK_HPP

#include "core/lifetime.hpp"
#include "loop/event_loop.hpp"
#include "wire/endpoint.hpp"

#include <functional>
#include <vector>

namespace bamboohoist {

/// Whether the process of a server lives.
enum class process_state
{
    alive,
    ended,
    unknown, ///< It can't be reached.
};

/// Finds out by a connection whether a server's process has ended. A process that lives may close
/// the connection at once, because it has too many, so one that is closed is followed by a second.
class process_check
{
public:
    using callback = std::function<void(process_state state)>;

    explicit process_check(event_loop& loop);

    /// Checks the process that listens at `address`. Joins a check that is running if that finds
    /// the process ended; a process that lived when the check began may have ended since.
    void start(const endpoint& address, callback on_checked);

    bool is_running() const;

private:
    /// What follows when a connection is accepted and closed at once.
    enum class closed_policy : std::uint8_t
    {
        again,   ///< A second connection.
        believe, ///< The process lives.
    };

    void probe(closed_policy policy);
    void probe_later();
    void finish(process_state state);

    event_loop& loop_;
    endpoint address_;
    std::vector<callback> waiters_;
    std::size_t probed_waiters_ = 0; ///< The first of them, who waited when the last probe began.
    bool running_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
