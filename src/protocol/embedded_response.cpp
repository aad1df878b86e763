#include "protocol/embedded_response.hpp"

#include "core/message.hpp"
#include "http/status_line.hpp"

#include <algorithm>
#include <cctype>

namespace bamboohoist {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::size_t status_line_bytes = 12; ///< Of the version and the status.
/// Of a version and a status at the end of a body; shorter endings are too common in text.
constexpr std::size_t min_part_bytes = 5;
/// Bounds of the work for a body that quotes many heads.
constexpr std::size_t max_head_bytes = 8192;
constexpr std::size_t max_heads = 256;

bool is_reason_letter(char letter)
{
    return letter == ' ' || std::isalpha(static_cast<unsigned char>(letter)) != 0;
}

bool is_printable(char letter)
{
    return std::iscntrl(static_cast<unsigned char>(letter)) == 0;
}

/// True when the fields of a head include this one. A text that ends before the head does counts as
/// including it when it is `cut`.
bool fields_include(std::string_view fields, std::string_view field, bool cut)
{
    for (auto end = fields.find(line_end); end != std::string_view::npos;
         end = fields.find(line_end))
    {
        const std::string_view line = fields.substr(0, end);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
        {
            return false;
        }
        if (header_names_equal(line.substr(0, colon), field))
        {
            return true;
        }
        fields.remove_prefix(end + line_end.size());
    }
    return cut;
}

/// True when a text, which begins with a version and a status, goes on as a head with this field.
bool is_response_head(std::string_view text, std::string_view field)
{
    const bool cut = text.size() <= max_head_bytes;
    const std::string_view head = text.substr(0, max_head_bytes);
    const auto end = head.find(line_end);
    if (end == std::string_view::npos)
    {
        // The text may end between the two bytes of a line end.
        const std::string_view reason = head.substr(0, head.find('\r')).substr(status_line_bytes);
        return cut && std::ranges::all_of(reason, is_reason_letter);
    }
    const std::string_view reason = head.substr(0, end).substr(status_line_bytes);
    const bool is_status_line =
        (reason.empty() || reason.front() == ' ') && std::ranges::all_of(reason, is_printable);
    return is_status_line && fields_include(head.substr(end + line_end.size()), field, cut);
}

} // namespace

bool contains_response_head(std::string_view body, std::string_view field)
{
    std::size_t heads = 0;
    for (auto at = find_status_line(body, 0); at != std::string_view::npos && heads < max_heads;
         at = find_status_line(body, at + 1))
    {
        if (is_response_head(body.substr(at), field))
        {
            return true;
        }
        ++heads;
    }
    return ends_in_status_line(body, min_part_bytes);
}

} // namespace bamboohoist
