#ifndef BAMBOOHOIST_DAEMON_TARGET_RESPONSE_HPP
#define BAMBOOHOIST_DAEMON_TARGET_RESPONSE_HPP

#include "http/http_client.hpp"
#include "policy/forwarded_request.hpp"
#include "policy/target_health.hpp"
#include "protocol/target_protocol.hpp"

#include <functional>
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

/// What a transfer shows about the health of its target. `is_caused_by_call()` tells whether an
/// error response is the consequence of a failed call of the target, which accounts for one error.
observation classify_transfer(const transfer_result& result, response_kind kind, double slot_ms,
                              const service_baseline& baseline,
                              const std::function<bool()>& is_caused_by_call);

} // namespace bamboohoist

#endif
