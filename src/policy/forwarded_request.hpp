#ifndef BAMBOOHOIST_POLICY_FORWARDED_REQUEST_HPP
#define BAMBOOHOIST_POLICY_FORWARDED_REQUEST_HPP

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/message.hpp"
#include "policy/target_health.hpp"

#include <cstdint>
#include <string>

namespace bamboohoist {

/// One attempt of a caller's request, as an ingress hands it to the guard of a target.
struct forwarded_request
{
    std::string id_; ///< Names the caller's request in events.
    std::string service_;
    std::string target_; ///< Identifier of the chosen target.
    std::string organisation_;
    double share_ = 1.0;   ///< Weight of the organisation under overload.
    std::string key_;      ///< Idempotency key; empty when there is none.
    duration time_left_{}; ///< Until the caller's deadline.
    std::uint32_t attempt_ = 1;
    std::string ingress_node_;   ///< The node of the ingress.
    std::string caller_service_; ///< The service of the VM where the request began.
    bool idempotent_ = false;    ///< It may be run more than once.
    bool last_resort_ = false;   ///< The target is taken although it is ejected.
    bool trial_ = false;         ///< May find out whether an ejected target works again.
    service_baseline baseline_;  ///< What is usual for the service, as the ingress sees it.
    request_message message_;
};

/// How busy a target is, as its guard knows it.
struct target_load
{
    std::uint32_t running_ = 0;
    std::uint32_t queued_ = 0;
    std::uint32_t slots_ = 1;
};

/// What a guard says about one attempt.
struct forwarded_response
{
    outcome outcome_ = outcome::unknown;
    error_kind error_ = error_kind::none; ///< `none` when `message_` is the target's answer.
    std::string detail_;                  ///< Text for people when there is an error.
    target_load load_;
    double slot_ms_ = 0.0; ///< Time in the slot; 0 when it was not run.
    double weight_ = 1.0;  ///< The guard's verdict on the target, 0 to 1.
    response_message message_;
};

} // namespace bamboohoist

#endif
