#ifndef BAMBOOHOIST_PROTOCOL_TARGET_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_TARGET_PROTOCOL_HPP

#include "core/clock.hpp"
#include "core/message.hpp"

#include <string_view>

namespace bamboohoist {

/// Metadata of a request to a target, most of which a guard sends in header fields.
struct target_request_metadata
{
    std::string_view request_;        ///< Identifier of the caller's request.
    std::string_view instance_;       ///< The instance that must run the request.
    std::string_view caller_service_; ///< The service of the VM on which the request started.
    duration time_left_{};
    bool reused_connection_ = false; ///< It may still carry a response to an earlier request.
};

/// What a response says about the execution of the request.
enum class response_kind
{
    valid,        ///< The target ran the request and this is its response.
    not_executed, ///< The target has not run the request and will not run it.
    wrong_target, ///< Another instance listens on this address; it has not run the request.
    foreign,      ///< Belongs to another request.
    unproven,     ///< Not proven to be as the target sent it.
};

/// The header fields of the protocol between a guard and its targets.
class target_protocol
{
public:
    virtual ~target_protocol() = default;

    /// Adds the fields that a target expects. Fields of the same name in the message are replaced.
    virtual void add_request_headers(request_message& message,
                                     const target_request_metadata& metadata) const = 0;

    virtual response_kind read(const response_message& response,
                               const target_request_metadata& metadata) const = 0;
};

} // namespace bamboohoist

#endif
