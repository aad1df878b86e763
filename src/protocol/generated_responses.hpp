#ifndef BAMBOOHOIST_PROTOCOL_GENERATED_RESPONSES_HPP
#define BAMBOOHOIST_PROTOCOL_GENERATED_RESPONSES_HPP

#include "protocol/caller_protocol.hpp"

namespace bamboohoist {

/// A response whose JSON body contains the error, the outcome, the detail and the request, with a
/// `Retry-After` header in seconds when the delay is known.
response_message make_error_response(int status, const generated_response& generated);

/// The JSON response to an announcement, or to another call from this VM, that was refused.
response_message make_refusal_response(const reason& cause);

} // namespace bamboohoist

#endif
