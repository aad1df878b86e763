#ifndef BAMBOOHOIST_LOOP_IO_WATCH_HPP
#define BAMBOOHOIST_LOOP_IO_WATCH_HPP

#include "loop/event_loop.hpp"

#include <ace/Event_Handler.h>
#include <functional>

namespace bamboohoist {

/// Readiness of a descriptor; a bit set.
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

constexpr bool has(io_events set, io_events part)
{
    return (static_cast<unsigned>(set) & static_cast<unsigned>(part)) != 0;
}

/// Watches one descriptor, which it does not own, for as long as it lives. The callback may
/// destroy the watch.
class io_watch : private ACE_Event_Handler
{
public:
    using callback = std::function<void(io_events)>;

    io_watch(event_loop& loop, int fd, callback on_ready);
    ~io_watch() override;

    io_watch(const io_watch&) = delete;
    io_watch& operator=(const io_watch&) = delete;

    /// Chooses the events to wait for; `none` stops the watch.
    void set(io_events wanted);

private:
    /// -1 when the reactor refuses, as for a descriptor that was closed under the watch.
    int change(io_events wanted);
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
