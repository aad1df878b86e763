#ifndef BAMBOOHOIST_POLICY_WATCH_WAIT_HPP
#define BAMBOOHOIST_POLICY_WATCH_WAIT_HPP

#include "core/clock.hpp"
#include "core/random_source.hpp"

#include <cstddef>

namespace bamboohoist {

/// How long a node lets the store wait for a change before it asks again.
///
/// A watch that hears nothing cannot tell a store without changes from a connection that is dead.
/// The end of its wait is the only proof of life, so in each failure domain about one watch ends
/// per second, whatever the number of nodes; the node that notices first tells the others by
/// gossip. Waits are spread because all nodes begin to watch at the same change.
///
/// `watchers` is the number of nodes of the failure domain that watch, this one included.
duration watch_wait(std::size_t watchers, random_source& random);

} // namespace bamboohoist

#endif
