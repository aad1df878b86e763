#include "http/response_head.hpp"

#include "http/status_line.hpp"

namespace bamboohoist {

namespace {

/// Of all interim responses, the final head and the trailers of one response together.
constexpr std::size_t max_head_bytes = 256U << 10U;

constexpr std::string_view blanks = " \t\r\n";

std::string trim(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(blanks) - first + 1));
}

bool is_decimal(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// True when at most one field tells the end of the body, and a length is a number (RFC 9112, 6.3).
/// libcurl takes the last one of several lengths, the digits before anything else, and no length
/// beside a transfer coding.
bool has_clear_end(std::span<const header> headers)
{
    std::size_t framing_fields = 0;
    bool lengths_are_decimal = true;
    for (const header& field : headers)
    {
        const bool is_length = header_names_equal(field.name_, "Content-Length");
        const bool is_coding = header_names_equal(field.name_, "Transfer-Encoding");
        framing_fields += is_length || is_coding ? 1 : 0;
        lengths_are_decimal &= !is_length || is_decimal(field.value_);
    }
    return framing_fields <= 1 && lengths_are_decimal;
}

} // namespace

head_line response_head::add_line(std::string_view line)
{
    bytes_ += line.size();
    if (bytes_ > max_head_bytes)
    {
        return head_line::too_large;
    }
    if (mixes_responses(line))
    {
        return head_line::malformed;
    }
    if (complete_)
    {
        return check_trailer(line);
    }
    if (!open_)
    {
        // A status line: the first one, or that after an interim response, whose fields are
        // dropped.
        open_ = true;
        headers_.clear();
        return head_line::part;
    }
    if (line == "\r\n" || line == "\n")
    {
        open_ = false;
        return has_clear_end(headers_) ? head_line::end : head_line::malformed;
    }
    return add_field(line);
}

const header_list& response_head::complete()
{
    complete_ = true;
    return headers_;
}

bool response_head::is_complete() const
{
    return complete_;
}

/// True when a line continues a response that broke off with the next one, or begins that.
bool response_head::mixes_responses(std::string_view line) const
{
    const std::size_t allowed_at = complete_ ? 0 : 1;
    return find_status_line(line, allowed_at) != std::string_view::npos;
}

/// A trailer may not stand for a field of the head. After a chunk's size that broke off behind a
/// zero, libcurl takes the status line of the next response for a part of the size, and its fields,
/// of which the head has some, for trailers.
head_line response_head::check_trailer(std::string_view line) const
{
    const std::string name = trim(line.substr(0, line.find(':')));
    return find_header(headers_, name) ? head_line::malformed : head_line::part;
}

head_line response_head::add_field(std::string_view line)
{
    const std::string_view name = line.substr(0, line.find(':'));
    // A name with a blank, such as that of a folded line, may hide a field that tells the length.
    if (name.empty() || name.find_first_of(blanks) != std::string_view::npos)
    {
        return head_line::malformed;
    }
    headers_.push_back(header{std::string(name), trim(line.substr(name.size() + 1))});
    return head_line::part;
}

} // namespace bamboohoist
