#ifndef BAMBOOHOIST_PROTOCOL_GENERATED_RESPONSES_HPP
#define BAMBOOHOIST_PROTOCOL_GENERATED_RESPONSES_HPP

#include "protocol/caller_protocol.hpp"

namespace bamboohoist {

/// An answer whose JSON body names the error, the outcome, the detail and the request, with a
/// `Retry-After` in seconds when one is known.
response_message make_error_response(int status, const generated_response& made);

/// The JSON answer to an announcement that was refused, or to any other call of this VM.
response_message make_refusal_response(const reason& why);

} // namespace bamboohoist

#endif
