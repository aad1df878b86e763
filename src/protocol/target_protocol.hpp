#ifndef BAMBOOHOIST_PROTOCOL_TARGET_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_TARGET_PROTOCOL_HPP

#include "core/clock.hpp"
#include "core/message.hpp"

#include <string_view>

namespace bamboohoist {

/// What a guard tells a target about a request beside the message itself.
struct target_request_metadata
{
    std::string_view request_;        ///< Identifier of the caller's request.
    std::string_view instance_;       ///< The instance that has to run it.
    std::string_view caller_service_; ///< The service of the VM where the request began.
    duration time_left_{};
};

/// What an answer says about the request.
enum class response_kind
{
    valid,        ///< The target ran the request and this is its answer.
    not_executed, ///< The target has not run the request and will not.
    wrong_target, ///< Another instance listens here; it has not run the request.
    mismatched,   ///< Not the answer to this request, or not as the target made it.
};

/// The header fields in which a guard and its targets understand each other.
class target_protocol
{
public:
    virtual ~target_protocol() = default;

    /// Adds the fields that a target expects; those of the same name that came along are replaced.
    virtual void add_request_headers(request_message& message,
                                     const target_request_metadata& call) const = 0;

    virtual response_kind read(const response_message& answer,
                               const target_request_metadata& call) const = 0;
};

} // namespace bamboohoist

#endif
