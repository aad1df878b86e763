#include "policy/watch_wait.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration min_wait = std::chrono::milliseconds(500);
constexpr duration mean_wait_per_watcher = std::chrono::seconds(1);
constexpr std::size_t max_watchers = 15; ///< Limits the wait to what stores accept, 30 s.

} // namespace

duration watch_wait(std::size_t watchers, random_source& random)
{
    const auto counted = static_cast<double>(std::clamp<std::size_t>(watchers, 1, max_watchers));
    const auto spread = 2.0 * (mean_wait_per_watcher * counted - min_wait);
    return min_wait + std::chrono::duration_cast<duration>(spread * random.uniform());
}

} // namespace bamboohoist
