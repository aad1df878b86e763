#include "loop/io_watch.hpp"

namespace bamboohoist {

namespace {

ACE_Reactor_Mask to_mask(io_events events)
{
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (has(events, io_events::read))
    {
        mask |= ACE_Event_Handler::READ_MASK;
    }
    if (has(events, io_events::write))
    {
        mask |= ACE_Event_Handler::WRITE_MASK;
    }
    return mask;
}

} // namespace

io_watch::io_watch(event_loop& loop, int fd, callback on_ready)
    : loop_(loop), fd_(fd), on_ready_(std::move(on_ready))
{
}

io_watch::~io_watch()
{
    set(io_events::none);
}

void io_watch::set(io_events wanted)
{
    if (wanted == wanted_)
    {
        return;
    }
    if (update_reactor(wanted) == -1)
    {
        loop_.metrics().add(counter::reactor_errors);
    }
    wanted_ = wanted;
}

int io_watch::update_reactor(io_events wanted)
{
    ACE_Reactor& reactor = loop_.reactor();
    if (wanted == io_events::none)
    {
        const auto all_events = to_mask(io_events::both);
        return reactor.remove_handler(this, all_events | ACE_Event_Handler::DONT_CALL);
    }
    if (wanted_ == io_events::none)
    {
        return reactor.register_handler(this, to_mask(wanted));
    }
    return reactor.mask_ops(this, to_mask(wanted), ACE_Reactor::SET_MASK);
}

ACE_HANDLE io_watch::get_handle() const
{
    return fd_;
}

int io_watch::handle_input(ACE_HANDLE)
{
    // Copied because the callback may destroy this watch.
    const callback on_ready = on_ready_;
    on_ready(io_events::read);
    return 0;
}

int io_watch::handle_output(ACE_HANDLE)
{
    const callback on_ready = on_ready_;
    on_ready(io_events::write);
    return 0;
}

} // namespace bamboohoist
