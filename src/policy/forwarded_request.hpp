#ifndef BAMBOOHOIST_POLICY_FORWARDED_REQUEST_HPP
#define BAMBOOHOIST_POLICY_FORWARDED_REQUEST_HPP

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/message.hpp"
#include "policy/request_rank.hpp"
#include "policy/target_health.hpp"

#include <cstdint>
#include <string>

namespace bamboohoist {

/// One attempt of a caller's request, as an ingress forwards it to the guard of a target.
struct forwarded_request
{
    std::string id_; ///< Identifies the caller's request in the log.
    std::string service_;
    std::string target_; ///< Identifier of the chosen target.
    std::string organisation_;
    double share_ = 1.0;          ///< Weight of the organisation under overload.
    request_rank rank_;           ///< Which requests go first under overload.
    std::string idempotency_key_; ///< Idempotency key; empty when there is none.
    duration time_left_{};        ///< Until the caller's deadline.
    std::uint32_t attempt_ = 1;
    std::string ingress_node_;   ///< The node of the ingress.
    std::string caller_service_; ///< The service of the VM that sent the request.
    bool idempotent_ = false;    ///< The request may be run more than once.
    bool last_resort_ = false;   ///< The target was chosen although it is ejected.
    bool trial_ = false;         ///< May be used as a trial if the target is ejected.
    service_baseline baseline_;  ///< Typical values of the service, as estimated by the ingress.
    request_message message_;
};

/// The load of a target, as known to its guard.
struct target_load
{
    std::uint32_t running_ = 0;
    std::uint32_t queued_ = 0;
    std::uint32_t slots_ = 1;
};

/// A guard's response to one attempt.
struct forwarded_response
{
    outcome outcome_ = outcome::unknown;
    error_kind error_ = error_kind::none; ///< `none` when `message_` is the target's response.
    std::string detail_;                  ///< Explanation of the error, for operators.
    target_load load_;
    double slot_ms_ = 0.0; ///< Time in the slot; 0 when it was not run.
    double weight_ = 1.0;  ///< The target's health weight, 0 to 1.
    response_message message_;
};

} // namespace bamboohoist

#endif
