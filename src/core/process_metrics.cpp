#include "core/process_metrics.hpp"

namespace bamboohoist {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(counter::count)> names{
    "requests_total",
    "requests_unauthenticated_total",
    "requests_key_exempt_total",
    "answers_relayed_total",
    "answers_made_total",
    "callers_gone_total",
    "retries_total",
    "retries_denied_total",
    "guard_admitted_total",
    "guard_shed_total",
    "guard_displaced_by_rank_total",
    "guard_cancelled_total",
    "target_errors_total",
    "target_stalls_total",
    "target_crashes_total",
    "target_responses_unframed_total",
    "target_responses_cut_total",
    "target_responses_foreign_total",
    "target_responses_unproven_total",
    "ejections_total",
    "returns_total",
    "floor_holds_total",
    "claims_requested_total",
    "claims_won_total",
    "claims_replayed_total",
    "claims_refused_total",
    "claim_writes_total",
    "quarantines_total",
    "quota_asks_total",
    "quota_asks_failed_total",
    "quota_credits_granted_total",
    "quota_credits_returned_total",
    "quota_refused_total",
    "quota_fixed_part_total",
    "store_reads_total",
    "store_writes_total",
    "store_waits_total",
    "store_errors_total",
    "store_eras_total",
    "gossip_sent_total",
    "gossip_received_total",
    "gossip_sent_bytes_total",
    "gossip_received_bytes_total",
    "control_sent_bytes_total",
    "control_received_bytes_total",
    "region_sent_bytes_total",
    "config_changes_total",
    "config_fetched_bytes_total",
    "config_fetches_failed_total",
    "config_remarks_total",
    "member_changes_total",
    "announcements_total",
    "announcements_refused_total",
    "announcements_stale_total",
    "announcements_held_total",
    "departures_unsaved_total",
    "recovery_notes_written_total",
    "recovery_notes_learned_total",
    "recovery_notes_removed_total",
    "events_recorded_total",
    "inbox_overflows_total",
    "log_lines_suppressed_total",
    "log_lines_dropped_total",
    "reactor_errors_total",
    "memory_refused_total",
    "memory_uploads_closed_total",
    "memory_responses_closed_total",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(gauge::count)> gauge_names{
    "memory_accounted_bytes",
    "memory_capacity_bytes",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(latency::count)> latency_names{
    "request_seconds",
    "slot_seconds",
    "store_call_seconds",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(moment::count)> moment_names{
    "store_reply_timestamp_seconds",
    "revision_adopted_timestamp_seconds",
};

constexpr double ms_per_s = 1000.0;

} // namespace

std::string_view to_string(counter which)
{
    return names[static_cast<std::size_t>(which)];
}

void process_metrics::add(counter which, std::uint64_t amount)
{
    values_[static_cast<std::size_t>(which)].fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t process_metrics::value(counter which) const
{
    return values_[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
}

void process_metrics::observe(latency which, duration taken)
{
    latencies_[static_cast<std::size_t>(which)].add(taken);
}

void process_metrics::set(gauge which, std::uint64_t value)
{
    gauges_[static_cast<std::size_t>(which)].store(value, std::memory_order_relaxed);
}

void process_metrics::record_time(moment which, std::int64_t wall_ms)
{
    times_ms_[static_cast<std::size_t>(which)].store(wall_ms, std::memory_order_relaxed);
}

std::string process_metrics::exposition() const
{
    std::string text;
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        const std::string name = "bamboohoist_" + std::string(names[i]);
        text += "# TYPE " + name + " counter\n";
        text += name + " " + std::to_string(value(static_cast<counter>(i))) + "\n";
    }
    for (std::size_t i = 0; i < gauge_names.size(); ++i)
    {
        const std::string name = "bamboohoist_" + std::string(gauge_names[i]);
        text += "# TYPE " + name + " gauge\n";
        text += name + " " + std::to_string(gauges_[i].load(std::memory_order_relaxed)) + "\n";
    }
    for (std::size_t i = 0; i < latency_names.size(); ++i)
    {
        text += latencies_[i].exposition("bamboohoist_" + std::string(latency_names[i]));
    }
    for (std::size_t i = 0; i < moment_names.size(); ++i)
    {
        const std::string name = "bamboohoist_" + std::string(moment_names[i]);
        const auto wall_ms = static_cast<double>(times_ms_[i].load(std::memory_order_relaxed));
        text += "# TYPE " + name + " gauge\n";
        text += name + " " + std::to_string(wall_ms / ms_per_s) + "\n";
    }
    return text;
}

} // namespace bamboohoist
