#ifndef BAMBOOHOIST_CONFIG_HEAD_JSON_HPP
#define BAMBOOHOIST_CONFIG_HEAD_JSON_HPP

#include "policy/revision.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Writes a head as the JSON text that the store keeps and that nodes send to each other.
std::string write_head(const revision_head& head);

/// Parses a head; empty with `internal` when the text is not a head.
std::optional<revision_head> parse_head(std::string_view text);

} // namespace bamboohoist

#endif
