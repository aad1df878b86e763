#ifndef BAMBOOHOIST_CONFIG_MANIFEST_JSON_HPP
#define BAMBOOHOIST_CONFIG_MANIFEST_JSON_HPP

#include "policy/manifest.hpp"

#include <optional>
#include <string_view>

namespace bamboohoist {

/// Parses and validates a manifest. On failure the last reason (`bad_manifest`) names the path of
/// the key, its line and what was expected.
std::optional<ref_ptr<const manifest>> parse_manifest(std::string_view text);

/// As `parse_manifest()`, for a text that a node validated before it was accepted; errors name no
/// line.
std::optional<ref_ptr<const manifest>> parse_validated_manifest(std::string_view text);

} // namespace bamboohoist

#endif
