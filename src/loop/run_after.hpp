#ifndef BAMBOOHOIST_LOOP_RUN_AFTER_HPP
#define BAMBOOHOIST_LOOP_RUN_AFTER_HPP

#include "loop/event_loop.hpp"

namespace bamboohoist {

/// Runs a task once on the loop's thread after a delay. The task cannot be cancelled. If it refers
/// to an object, it must hold a token of the object's `lifetime` and check it.
void run_after(event_loop& loop, duration delay, event_loop::task function);

} // namespace bamboohoist

#endif
