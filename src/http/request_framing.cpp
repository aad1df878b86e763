#include "http/request_framing.hpp"

#include <charconv>

namespace bamboohoist {

bool has_clear_end(std::span<const header> headers)
{
    std::size_t framing_fields = 0;
    bool known_coding = true;
    for (const header& field : headers)
    {
        const bool coding = header_names_equal(field.name_, "Transfer-Encoding");
        framing_fields += coding || header_names_equal(field.name_, "Content-Length") ? 1 : 0;
        known_coding &= !coding || header_names_equal(field.value_, "chunked");
    }
    return framing_fields <= 1 && known_coding;
}

std::optional<std::size_t> announced_length(std::span<const header> headers)
{
    const auto text = find_header(headers, "Content-Length").value_or("");
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool valid = !text.empty() && error == std::errc() && end == text.data() + text.size();
    return valid ? std::optional(length) : std::nullopt;
}

} // namespace bamboohoist
