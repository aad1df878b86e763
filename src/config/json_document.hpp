#ifndef BAMBOOHOIST_CONFIG_JSON_DOCUMENT_HPP
#define BAMBOOHOIST_CONFIG_JSON_DOCUMENT_HPP

#include "core/error.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboohoist {

/// A parsed JSON text that records the line of every value, so that errors can name it.
class json_document
{
public:
    /// Parses a text. On failure the last reason, of the given kind, names the line and the
    /// problem.
    static std::optional<json_document> parse(std::string_view text, error_kind kind);

    /// Parses a text that was validated before. Records no lines and detects no repeated keys, and
    /// so takes far less time and memory.
    static std::optional<json_document> parse_validated(std::string_view text, error_kind kind);

    const nlohmann::json& root() const;
    error_kind kind() const;

    /// Returns the line of the value at a JSON pointer; 0 when unknown.
    std::size_t line_of(std::string_view pointer) const;

private:
    nlohmann::json root_;
    error_kind kind_ = error_kind::internal;
    std::unordered_map<std::string, std::size_t> lines_;
};

} // namespace bamboohoist

#endif
