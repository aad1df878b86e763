#ifndef BAMBOOHOIST_CORE_LOG_HPP
#define BAMBOOHOIST_CORE_LOG_HPP

#include "core/event_log.hpp"

#include <string_view>

namespace bamboohoist {

/// The two forms of a log line.
enum class log_format
{
    text,
    json,
};

/// Sets up Boost.Log to write lines to standard error. Call once, before any thread starts.
void open_log(log_format format);

/// Writes one line for a change of state.
void log_event(const event& entry);

/// Writes one line for a failure that ends or degrades the process.
void log_failure(std::string_view subject, std::string_view text);

} // namespace bamboohoist

#endif
