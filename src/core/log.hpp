#ifndef BAMBOOHOIST_CORE_LOG_HPP
#define BAMBOOHOIST_CORE_LOG_HPP

#include "core/event_log.hpp"
#include "core/process_metrics.hpp"

#include <string_view>

namespace bamboohoist {

/// Format of the log lines.
enum class log_format
{
    text,
    json,
};

/// Sets up Boost.Log to write lines to standard output from a bounded queue on a thread of its own,
/// so that a blocked reader of standard output blocks no other thread: lines that do not fit into
/// the queue are dropped and counted. Call once, before any other thread starts.
void open_log(log_format format, process_metrics& metrics);

/// Writes the queued lines and ends the logging thread.
void close_log();

/// Writes a line that is already formatted.
void log_line(std::string_view line);

/// Formats and writes an event.
void log_event(const event& entry);

/// Writes a failure that ends or degrades the process.
void log_failure(std::string_view subject, std::string_view text);

} // namespace bamboohoist

#endif
