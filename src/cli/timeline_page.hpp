#ifndef BAMBOOHOIST_CLI_TIMELINE_PAGE_HPP
#define BAMBOOHOIST_CLI_TIMELINE_PAGE_HPP

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Escapes a text for use in HTML.
std::string escape_html(std::string_view text);

/// Draws the time line of `GET /v1/timeline` as SVG: one row for each subject, one mark for each
/// event.
std::string timeline_svg(const nlohmann::ordered_json& body);

/// Formats an HTML page with the plot and the table of events.
std::string timeline_page(const nlohmann::ordered_json& body);

} // namespace bamboohoist

#endif
