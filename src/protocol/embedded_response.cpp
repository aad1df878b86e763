#include "protocol/embedded_response.hpp"

#include "core/message.hpp"

#include <algorithm>
#include <cctype>

namespace bamboohoist {

namespace {

constexpr std::string_view version = "HTTP/1.1 ";
constexpr std::size_t status_digits = 3;
constexpr std::string_view line_end = "\r\n";

bool is_digit(char letter)
{
    return std::isdigit(static_cast<unsigned char>(letter)) != 0;
}

bool is_reason_letter(char letter)
{
    return letter == ' ' || std::isalpha(static_cast<unsigned char>(letter)) != 0;
}

/// True when a text is a status line, or the beginning of one with a complete status.
bool is_status_line(std::string_view line)
{
    const std::string_view status = line.substr(version.size(), status_digits);
    const std::string_view reason = line.substr(version.size() + status.size());
    return status.size() == status_digits && std::ranges::all_of(status, is_digit) &&
           std::ranges::all_of(reason, is_reason_letter);
}

/// True when the fields of a head include this one, or when the text ends before the head does.
bool fields_include(std::string_view fields, std::string_view field)
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
    return true;
}

bool is_response_head(std::string_view text, std::string_view field)
{
    const auto end = text.find(line_end);
    // The text may end between the two bytes of a line end.
    const std::string_view line = text.substr(0, std::min(end, text.find('\r')));
    if (!is_status_line(line))
    {
        return false;
    }
    return end == std::string_view::npos ||
           fields_include(text.substr(end + line_end.size()), field);
}

} // namespace

bool contains_response_head(std::string_view body, std::string_view field)
{
    for (auto at = body.find(version); at != std::string_view::npos;
         at = body.find(version, at + 1))
    {
        if (is_response_head(body.substr(at), field))
        {
            return true;
        }
    }
    return false;
}

} // namespace bamboohoist
