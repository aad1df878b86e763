#include "core/message.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace bamboohoist {

namespace {

constexpr std::string_view internal_prefix = "bamboohoist-";

char to_lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

} // namespace

bool header_names_equal(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, to_lower, to_lower);
}

bool is_field_name(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const auto is_token_character = [&](char character) {
        const bool letter =
            (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return letter || (character >= '0' && character <= '9') ||
               marks.find(character) != std::string_view::npos;
    };
    return !name.empty() && std::ranges::all_of(name, is_token_character);
}

std::optional<std::string_view> find_header(std::span<const header> headers, std::string_view name)
{
    for (const header& field : headers)
    {
        if (header_names_equal(field.name_, name))
        {
            return field.value_;
        }
    }
    return std::nullopt;
}

std::string_view path_without_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool is_idempotent_method(std::string_view method)
{
    constexpr std::array<std::string_view, 6> methods{"GET", "HEAD",   "OPTIONS",
                                                      "PUT", "DELETE", "TRACE"};
    return std::ranges::find(methods, method) != methods.end();
}

bool is_hop_by_hop_header(std::string_view name)
{
    constexpr std::array<std::string_view, 10> names{
        "connection", "keep-alive",        "proxy-connection", "te",     "trailer",
        "upgrade",    "transfer-encoding", "content-length",   "expect", "host"};
    return std::ranges::any_of(
        names, [&](std::string_view other) { return header_names_equal(name, other); });
}

bool is_internal_header(std::string_view name)
{
    return name.size() >= internal_prefix.size() &&
           header_names_equal(name.substr(0, internal_prefix.size()), internal_prefix);
}

} // namespace bamboohoist
