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

/// What a caller's request says about itself beside its message.
struct request_metadata
{
    std::string id_;                    ///< The caller's name for this request; may be empty.
    std::optional<duration> time_left_; ///< How long the caller waits, if it says so.
    std::string key_;                   ///< Idempotency key; empty when there is none.
};

/// An answer that the product makes in place of a target.
struct generated_response
{
    error_kind kind_ = error_kind::internal;
    outcome outcome_ = outcome::unknown;
    std::string_view detail_;             ///< For people.
    std::string_view request_;            ///< Identifier of the request.
    std::optional<duration> retry_after_; ///< When the request may come again with success.
};

/// The header fields and statuses in which callers and an ingress understand each other.
class caller_protocol
{
public:
    virtual ~caller_protocol() = default;

    /// Empty with `bad_request` when a field is malformed.
    virtual std::optional<request_metadata> read(std::span<const header> headers) const = 0;

    /// True for fields that concern callers and ingress only and are not passed on.
    virtual bool strips_header(std::string_view name) const = 0;

    virtual response_message write(const generated_response& made) const = 0;
};

} // namespace bamboohoist

#endif
