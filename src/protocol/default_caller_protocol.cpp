#include "protocol/default_caller_protocol.hpp"

#include "protocol/api_key.hpp"
#include "protocol/generated_responses.hpp"

#include <charconv>

namespace bamboohoist {

namespace {

constexpr std::uint32_t max_timeout_ms = 600'000;
constexpr std::size_t max_key_bytes = 256;

} // namespace

std::optional<request_metadata> default_caller_protocol::read(std::span<const header> headers) const
{
    request_metadata metadata;
    metadata.api_key_ = read_api_key(headers, api_key_scheme);
    metadata.key_ = std::string(find_header(headers, key_header).value_or(""));
    if (metadata.key_.size() > max_key_bytes)
    {
        return fail(error_kind::bad_request, "Idempotency-Key is longer than 256 bytes");
    }
    const auto text = find_header(headers, timeout_header);
    if (!text)
    {
        return metadata;
    }
    std::uint32_t timeout_ms = 0;
    const auto [end, error] =
        std::from_chars(text->data(), text->data() + text->size(), timeout_ms);
    const bool parsed = error == std::errc() && end == text->data() + text->size();
    if (!parsed || timeout_ms == 0 || timeout_ms > max_timeout_ms)
    {
        return fail(error_kind::bad_request,
                    std::string(timeout_header) +
                        ": expected milliseconds from 1 to 600000, got \"" + std::string(*text) +
                        "\"");
    }
    metadata.time_left_ = std::chrono::milliseconds(timeout_ms);
    return metadata;
}

bool default_caller_protocol::strips_header(std::string_view name) const
{
    return header_names_equal(name, timeout_header);
}

response_message default_caller_protocol::write(const generated_response& generated) const
{
    const error_response& row = error_response_for(generated.kind_);
    response_message response = make_error_response(row.status_, generated);
    add_challenge(response, api_key_scheme);
    response.headers_.push_back(
        header{"Bamboohoist-Outcome", std::string(to_string(generated.outcome_))});
    response.headers_.push_back(header{"Bamboohoist-Error", std::string(row.name_)});
    response.headers_.push_back(header{"Bamboohoist-Request", std::string(generated.request_)});
    return response;
}

} // namespace bamboohoist
