#ifndef BAMBOOHOIST_POLICY_PROCESS_BUDGET_HPP
#define BAMBOOHOIST_POLICY_PROCESS_BUDGET_HPP

#include <cstddef>

namespace bamboohoist {

/// What a process may use.
struct process_resources
{
    std::size_t memory_bytes_ = 0;
    std::size_t descriptors_ = 0;
    std::size_t ingress_threads_ = 1;
};

/// The limits that follow from what a process may use.
struct process_budget
{
    std::size_t body_bytes_ = 0; ///< Of all bodies in the process; what `memory_account` allows.
    unsigned caller_connections_ = 0; ///< Of each ingress thread.
};

/// Memory that a connection of a caller takes besides bodies: the buffer for its headers.
inline constexpr std::size_t connection_bytes = 32768;

/// Divides the resources: memory at rest, bodies, callers' connections, and the rest for buffers of
/// libraries and fragmentation; of the descriptors, a quarter is kept for peers, targets and files.
process_budget make_process_budget(const process_resources& resources);

} // namespace bamboohoist

#endif
