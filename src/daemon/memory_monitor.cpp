#include "daemon/memory_monitor.hpp"

#include "daemon/process_limits.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration check_period = std::chrono::seconds(2);
/// With fewer accounted bytes the process counts as idle.
constexpr std::size_t idle_bytes = 1U << 20U;
/// Smaller growths of the resident memory are not worth a trim.
constexpr std::size_t min_growth_bytes = 8U << 20U;

} // namespace

memory_monitor::memory_monitor(const control_context& context)
    : context_(context), timer_(context.loop_, [this] { check(); })
{
}

std::string_view memory_monitor::name() const
{
    return "memory-holder";
}

bool memory_monitor::start()
{
    settled_bytes_ = resident_bytes();
    timer_.repeat(check_period);
    return true;
}

void memory_monitor::stop()
{
    timer_.cancel();
}

void memory_monitor::check()
{
    const memory_account& memory = context_.loop_.memory();
    context_.metrics_.set(gauge::memory_accounted_bytes, memory.used());
    context_.metrics_.set(gauge::memory_capacity_bytes, memory.capacity());
    const std::size_t resident = resident_bytes();
    settled_bytes_ = std::min(settled_bytes_, resident);
    if (memory.used() < idle_bytes && resident > settled_bytes_ + min_growth_bytes)
    {
        trim_allocator();
        settled_bytes_ = resident_bytes();
    }
}

} // namespace bamboohoist
