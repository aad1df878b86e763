#ifndef BAMBOOHOIST_CORE_PROCESS_METRICS_HPP
#define BAMBOOHOIST_CORE_PROCESS_METRICS_HPP

#include "core/latency_histogram.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohoist {

/// The counters of one process. The list is closed, so that no label can make it grow.
enum class counter
{
    requests,
    responses_relayed,
    responses_generated,
    callers_disconnected,
    retries,
    retries_denied,
    guard_admitted,
    guard_shed,
    guard_cancelled,
    target_errors,
    target_stalls,
    target_crashes,
    ejections,
    target_returns,
    floor_applied,
    claims_requested,
    claims_granted,
    claims_replayed,
    claims_refused,
    claim_writes,
    quarantines,
    store_reads,
    store_writes,
    store_watches,
    store_errors,
    gossip_sent,
    gossip_received,
    gossip_bytes_sent,
    gossip_bytes_received,
    control_bytes_sent,
    control_bytes_received,
    region_bytes_sent,
    config_changes,
    config_bytes_fetched,
    member_changes,
    announcements,
    announcements_refused,
    announcements_stale,
    events_recorded,
    inbox_overflows,
    log_lines_suppressed,
    log_lines_dropped,
    reactor_errors,
    count, ///< Number of counters; not a counter.
};

/// The exposition name of a counter, without the product's prefix.
std::string_view to_string(counter which);

/// The latencies of one process that are kept as histograms.
enum class latency
{
    request,    ///< From a caller's request to its answer.
    slot,       ///< In a slot of a backend server, to its answer or its loss.
    store_call, ///< A call to the store that does not wait for a change.
    count,      ///< Number of latencies; not a latency.
};

/// The counters and histograms of a process. All operations may be called from any thread.
class process_metrics
{
public:
    void add(counter which, std::uint64_t amount = 1);
    std::uint64_t value(counter which) const;

    void observe(latency which, duration taken);

    /// All counters and histograms in the text exposition format that common scrapers read.
    std::string exposition() const;

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(counter::count)> values_{};
    std::array<latency_histogram, static_cast<std::size_t>(latency::count)> latencies_{};
};

} // namespace bamboohoist

#endif
