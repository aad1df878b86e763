#ifndef BAMBOOHOIST_CORE_PROCESS_METRICS_HPP
#define BAMBOOHOIST_CORE_PROCESS_METRICS_HPP

#include "core/latency_histogram.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohoist {

/// The counters of a process. The list is fixed and the counters have no labels, so that the number
/// of time series is bounded.
enum class counter
{
    requests,
    requests_unauthenticated, ///< Refused with 401.
    requests_key_exempt,      ///< On routes that need no key, where keys are required.
    responses_relayed,
    responses_generated,
    callers_disconnected,
    retries,
    retries_denied,
    guard_admitted,
    guard_shed,
    guard_displaced_by_rank,
    guard_cancelled,
    target_errors,
    target_stalls,
    target_crashes,
    target_responses_unframed,
    target_responses_cut,
    target_responses_foreign,
    target_responses_unproven,
    ejections,
    target_returns,
    floor_applied,
    claims_requested,
    claims_granted,
    claims_replayed,
    claims_refused,
    claim_writes,
    quarantines,
    quota_asks,
    quota_asks_failed,
    quota_credits_granted,
    quota_credits_returned,
    quota_refused,
    quota_fixed_part,
    store_reads,
    store_writes,
    store_watches,
    store_errors,
    store_eras,
    gossip_sent,
    gossip_received,
    gossip_bytes_sent,
    gossip_bytes_received,
    control_bytes_sent,
    control_bytes_received,
    region_bytes_sent,
    config_changes,
    config_bytes_fetched,
    config_fetches_failed,
    config_remarks,
    member_changes,
    announcements,
    announcements_refused,
    announcements_stale,
    announcements_held,
    departures_unsaved,
    recovery_notes_written,
    recovery_notes_learned,
    recovery_notes_removed,
    events_recorded,
    inbox_overflows,
    log_lines_suppressed,
    log_lines_dropped,
    reactor_errors,
    memory_refused,
    memory_uploads_closed,
    memory_responses_closed,
    count, ///< Number of counters; not a counter.
};

/// Returns the name of a counter in the exposition, without the prefix `bamboohoist_`.
std::string_view to_string(counter which);

/// The latencies of a process that are recorded in histograms.
enum class latency
{
    request, ///< From a caller's request to its response.
    slot, ///< From taking a slot of a backend server to the response or the loss of the connection.
    store_call, ///< A call to the store, except for watches.
    count,      ///< Number of latencies; not a latency.
};

/// Events whose latest time is exposed, so that one that no longer happens is noticed by its age.
enum class moment
{
    store_reply,      ///< A reply to the watch of the configuration in the store.
    revision_adopted, ///< A new revision of the configuration.
    count,            ///< Number of moments; not a moment.
};

/// Values of a process that rise and fall.
enum class gauge
{
    memory_accounted_bytes, ///< Held by bodies; at the latest report.
    memory_capacity_bytes,  ///< What they may hold.
    count,                  ///< Number of gauges; not a gauge.
};

/// The counters, histograms and times of a process. All functions may be called from any thread.
class process_metrics
{
public:
    void add(counter which, std::uint64_t amount = 1);
    std::uint64_t value(counter which) const;

    void observe(latency which, duration taken);

    /// Sets the latest time of an event, in milliseconds of Unix time.
    void record_time(moment which, std::int64_t wall_ms);

    void set(gauge which, std::uint64_t value);

    /// Returns all counters, histograms and times in the Prometheus text format.
    std::string exposition() const;

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(counter::count)> values_{};
    std::array<latency_histogram, static_cast<std::size_t>(latency::count)> latencies_{};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(gauge::count)> gauges_{};
    std::array<std::atomic<std::int64_t>, static_cast<std::size_t>(moment::count)> times_ms_{};
};

} // namespace bamboohoist

#endif
