#include "daemon/process_limits.hpp"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace bamboohoist {

namespace {

constexpr std::size_t bytes_per_mb = 1U << 20U;
/// For a system that does not tell its limits.
constexpr std::size_t usual_descriptors = 1024;
constexpr std::size_t usual_memory_mb = 1024;

std::size_t page_bytes()
{
    return static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t system_memory()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    return pages > 0 ? static_cast<std::size_t>(pages) * page_bytes()
                     : usual_memory_mb * bytes_per_mb;
}

std::size_t descriptor_limit()
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY
               ? static_cast<std::size_t>(limit.rlim_cur)
               : usual_descriptors;
}

} // namespace

process_budget find_process_budget(const settings& node_settings)
{
    process_resources resources;
    resources.memory_bytes_ =
        node_settings.memory_mb_ != 0 ? node_settings.memory_mb_ * bytes_per_mb : system_memory();
    resources.descriptors_ =
        node_settings.max_descriptors_ != 0 ? node_settings.max_descriptors_ : descriptor_limit();
    resources.ingress_threads_ = node_settings.ingress_threads_;
    return make_process_budget(resources);
}

void set_up_allocator()
{
#ifdef __GLIBC__
    // Without a fixed threshold glibc raises it to the largest block that was freed, and later
    // blocks of that size stay in the heap.
    constexpr int mapped_block_bytes = 65536;
    ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, mapped_block_bytes);
#endif
}

void trim_allocator()
{
#ifdef __GLIBC__
    ::malloc_trim(0);
#endif
}

std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return file ? resident * page_bytes() : 0;
}

} // namespace bamboohoist
