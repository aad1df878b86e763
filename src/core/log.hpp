#ifndef BAMBOOHOIST_CORE_LOG_HPP
#define BAMBOOHOIST_CORE_LOG_HPP

#include "core/event_log.hpp"
#include "core/process_metrics.hpp"

#include <string_view>

namespace bamboohoist {

/// The two forms of a log line.
enum class log_format
{
    text,
    json,
};

/// Sets up Boost.Log to write lines to standard output from a thread and a bounded queue of their
/// own, so that a reader that stands still stops nobody: lines beyond the queue are dropped and
/// counted. Call once, before any other thread starts.
void open_log(log_format format, process_metrics& metrics);

/// Writes out what is queued and ends the log's thread.
void close_log();

/// Writes a line that is complete already.
void log_line(std::string_view line);

/// Writes one line for a change of state.
void log_event(const event& entry);

/// Writes one line for a failure that ends or degrades the process.
void log_failure(std::string_view subject, std::string_view text);

} // namespace bamboohoist

#endif
