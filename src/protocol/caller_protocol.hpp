#ifndef BAMBOOHOIST_PROTOCOL_CALLER_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_CALLER_PROTOCOL_HPP

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/message.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Metadata that a caller sends in header fields of its request.
struct request_metadata
{
    std::string id_;                    ///< The caller's identifier of this request; may be empty.
    std::optional<duration> time_left_; ///< How long the caller waits; empty when not sent.
    std::string key_;                   ///< Idempotency key; empty when there is none.
    /// API key, as a view into the header fields; empty when there is none, or a malformed one.
    std::string_view api_key_;
};

/// A response that the proxy generates itself instead of relaying one from a target.
struct generated_response
{
    error_kind kind_ = error_kind::internal;
    outcome outcome_ = outcome::unknown;
    std::string_view detail_;             ///< Human-readable explanation.
    std::string_view request_;            ///< Identifier of the request.
    std::optional<duration> retry_after_; ///< After which delay a retry may succeed.
};

/// The header fields and statuses of the protocol between callers and an ingress.
class caller_protocol
{
public:
    virtual ~caller_protocol() = default;

    /// Empty with `bad_request` when a field is malformed.
    virtual std::optional<request_metadata> read(std::span<const header> headers) const = 0;

    /// True for fields that are only for the ingress and are not forwarded to the target.
    virtual bool strips_header(std::string_view name) const = 0;

    virtual response_message write(const generated_response& generated) const = 0;
};

} // namespace bamboohoist

#endif
