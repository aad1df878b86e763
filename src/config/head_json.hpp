#ifndef BAMBOOHOIST_CONFIG_HEAD_JSON_HPP
#define BAMBOOHOIST_CONFIG_HEAD_JSON_HPP

#include "policy/revision.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// The JSON text of a head, as it stands in the store and travels between nodes.
std::string write_head(const revision_head& head);

/// Empty with `internal` when the text is not a head.
std::optional<revision_head> parse_head(std::string_view text);

} // namespace bamboohoist

#endif
