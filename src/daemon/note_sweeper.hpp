#ifndef BAMBOOHOIST_DAEMON_NOTE_SWEEPER_HPP
#define BAMBOOHOIST_DAEMON_NOTE_SWEEPER_HPP

#include "daemon/membership.hpp"
#include "store/store_client.hpp"

namespace bamboohoist {

/// Removes recovery notes from the store that no longer matter, whichever node has written them: no
/// lease ends them, and their node may be gone for good.
///
/// Nodes look at random moments, each the more rarely the more there are. So the fleet looks about
/// once a period, however often its nodes restart, and any node that is left does it alone.
class note_sweeper
{
public:
    note_sweeper(const control_context& context, store_client& store, const membership& members,
                 duration period);

    void start();
    void stop();

private:
    void schedule();
    void take_turn();
    void sweep();
    void remove_disposable(const store_reply& listed);
    void report(std::size_t removed);

    const control_context& context_;
    store_client& store_;
    const membership& members_;
    duration period_;
    timer timer_;
    bool running_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
