#include "policy/process_budget.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// The control budget of a node at the design size. A smaller VM keeps half of its memory for it.
constexpr std::size_t rest_bytes = 64U << 20U;
constexpr std::size_t max_rest_divisor = 2;
/// Of the memory that is not needed at rest.
constexpr std::size_t body_divisor = 2;
constexpr std::size_t connections_divisor = 3;
constexpr std::size_t max_connections = 4096;
constexpr std::size_t min_connections = 16;

} // namespace

process_budget make_process_budget(const process_resources& resources)
{
    const std::size_t at_rest = std::min(rest_bytes, resources.memory_bytes_ / max_rest_divisor);
    const std::size_t traffic_bytes = resources.memory_bytes_ - at_rest;
    const std::size_t by_memory = traffic_bytes / connections_divisor / connection_bytes;
    const std::size_t by_descriptors = resources.descriptors_ - resources.descriptors_ / 4;
    const std::size_t threads = std::max<std::size_t>(resources.ingress_threads_, 1);
    process_budget budget;
    budget.body_bytes_ = traffic_bytes / body_divisor;
    budget.caller_connections_ = static_cast<unsigned>(std::clamp(
        std::min(by_memory, by_descriptors) / threads, min_connections, max_connections));
    return budget;
}

} // namespace bamboohoist
