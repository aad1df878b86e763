#ifndef BAMBOOHOIST_CLI_LOAD_REPORT_HPP
#define BAMBOOHOIST_CLI_LOAD_REPORT_HPP

#include "cli/load_runner.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace bamboohoist {

/// Formats the results of a run as JSON: outcomes, errors, rate and latencies in milliseconds.
nlohmann::ordered_json load_report_json(const load_result& result);

/// Formats an HTML page with a table and a plot of the latency percentiles.
std::string load_report_page(const load_result& result);

} // namespace bamboohoist

#endif
