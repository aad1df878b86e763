#include "http/status_line.hpp"

#include <algorithm>
#include <cctype>

namespace bamboohoist {

namespace {

/// The bytes of a version and a status; `d` stands for a digit.
constexpr std::string_view pattern = "HTTP/1.d ddd";
constexpr std::string_view fixed_part = "HTTP/1.";

bool matches(char wanted, char letter)
{
    return wanted == 'd' ? std::isdigit(static_cast<unsigned char>(letter)) != 0 : wanted == letter;
}

bool begins_with(std::string_view text, std::string_view part)
{
    return text.size() >= part.size() &&
           std::equal(part.begin(), part.end(), text.begin(), matches);
}

} // namespace

std::size_t find_status_line(std::string_view text, std::size_t start)
{
    auto at = text.find(fixed_part, start);
    while (at != std::string_view::npos && !begins_with(text.substr(at), pattern))
    {
        at = text.find(fixed_part, at + 1);
    }
    return at;
}

bool ends_in_status_line(std::string_view text, std::size_t min_bytes)
{
    for (std::size_t size = min_bytes; size < pattern.size(); ++size)
    {
        if (text.size() >= size &&
            begins_with(text.substr(text.size() - size), pattern.substr(0, size)))
        {
            return true;
        }
    }
    return false;
}

} // namespace bamboohoist
