#ifndef BAMBOOHOIST_LOOP_RUN_AFTER_HPP
#define BAMBOOHOIST_LOOP_RUN_AFTER_HPP

#include "loop/event_loop.hpp"

namespace bamboohoist {

/// Runs a task once on the loop's thread after a delay. It cannot be cancelled, so the task has
/// to hold a token of a `lifetime` when it refers to an object.
void run_after(event_loop& loop, duration delay, event_loop::task work);

} // namespace bamboohoist

#endif
