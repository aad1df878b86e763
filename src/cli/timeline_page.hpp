#ifndef BAMBOOHOIST_CLI_TIMELINE_PAGE_HPP
#define BAMBOOHOIST_CLI_TIMELINE_PAGE_HPP

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Text as it may stand in HTML.
std::string escape_html(std::string_view text);

/// The time line of `GET /v1/timeline` as SVG: one row a subject, one mark an event.
std::string timeline_svg(const nlohmann::ordered_json& body);

/// A whole HTML page with the plot and the table of events.
std::string timeline_page(const nlohmann::ordered_json& body);

} // namespace bamboohoist

#endif
