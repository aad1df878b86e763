#ifndef BAMBOOHOIST_DAEMON_TARGET_RESPONSE_HPP
#define BAMBOOHOIST_DAEMON_TARGET_RESPONSE_HPP

#include "http/http_client.hpp"
#include "policy/forwarded_request.hpp"
#include "protocol/target_protocol.hpp"

#include <string>

namespace bamboohoist {

/// What the end of a transfer to a target tells about the execution of its request.
outcome outcome_of(transfer_end end);

/// The status, the framing and the received bytes of a response, for the decision log.
std::string describe_body(const transfer_result& result);

/// What a guard responds to the ingress after a transfer to a target. `kind` is what the protocol
/// read from a complete response. Nothing of a response that is incomplete or not accepted is
/// passed on.
forwarded_response make_target_response(transfer_result result, response_kind kind);

} // namespace bamboohoist

#endif
