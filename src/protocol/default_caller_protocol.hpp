#ifndef BAMBOOHOIST_PROTOCOL_DEFAULT_CALLER_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_DEFAULT_CALLER_PROTOCOL_HPP

#include "protocol/caller_protocol.hpp"

namespace bamboohoist {

/// Header field with the time that the caller waits, in milliseconds.
inline constexpr std::string_view timeout_header = "X-Request-Timeout-Ms";
inline constexpr std::string_view key_header = "Idempotency-Key";
/// Scheme of the `Authorization` field with the API key.
inline constexpr std::string_view api_key_scheme = "Bearer";

/// The default protocol between callers and an ingress.
class default_caller_protocol : public caller_protocol
{
public:
    std::optional<request_metadata> read(std::span<const header> headers) const override;
    bool strips_header(std::string_view name) const override;
    response_message write(const generated_response& generated) const override;
};

} // namespace bamboohoist

#endif
