#ifndef BAMBOOHOIST_DAEMON_PROCESS_LIMITS_HPP
#define BAMBOOHOIST_DAEMON_PROCESS_LIMITS_HPP

#include "config/settings.hpp"
#include "policy/process_budget.hpp"

namespace bamboohoist {

/// The limits of this process: from the settings, else from the system.
process_budget find_process_budget(const settings& node_settings);

/// Makes the allocator map large blocks separately, so that freeing them gives their memory back to
/// the system. Call once, before any other thread starts.
void set_up_allocator();

/// Gives free memory of the allocator back to the system. Takes some milliseconds.
void trim_allocator();

/// Memory of this process that is resident; 0 when the system does not tell.
std::size_t resident_bytes();

} // namespace bamboohoist

#endif
