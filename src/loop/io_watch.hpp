#ifndef BAMBOOHOIST_LOOP_IO_WATCH_HPP
#define BAMBOOHOIST_LOOP_IO_WATCH_HPP

#include "loop/event_loop.hpp"

#include <ace/Event_Handler.h>
#include <functional>

namespace bamboohoist {

/// Bit set of the events for which a descriptor can be ready.
enum class io_events : unsigned
{
    none = 0,
    read = 1,
    write = 2,
    both = 3,
};

constexpr io_events operator|(io_events left, io_events right)
{
    return static_cast<io_events>(static_cast<unsigned>(left) | static_cast<unsigned>(right));
}

/// Returns true when the sets have an event in common.
constexpr bool has(io_events set, io_events part)
{
    return (static_cast<unsigned>(set) & static_cast<unsigned>(part)) != 0;
}

/// Watches a descriptor for events until it is destroyed. It does not own the descriptor. The
/// callback may destroy the watch.
class io_watch : private ACE_Event_Handler
{
public:
    using callback = std::function<void(io_events)>;

    io_watch(event_loop& loop, int fd, callback on_ready);
    ~io_watch() override;

    io_watch(const io_watch&) = delete;
    io_watch& operator=(const io_watch&) = delete;

    /// Sets the events to wait for; `none` stops watching. A failure of the reactor is counted.
    void set(io_events wanted);

private:
    /// Returns -1 when the reactor rejects the change, for example because the descriptor has been
    /// closed in the meantime.
    int update_reactor(io_events wanted);
    ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE fd) override;
    int handle_output(ACE_HANDLE fd) override;

    event_loop& loop_;
    int fd_;
    callback on_ready_;
    io_events wanted_ = io_events::none;
};

} // namespace bamboohoist

#endif
