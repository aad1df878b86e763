#ifndef BAMBOOHOIST_DAEMON_REQUEST_ADMISSION_HPP
#define BAMBOOHOIST_DAEMON_REQUEST_ADMISSION_HPP

#include "daemon/traffic_context.hpp"
#include "policy/forwarded_request.hpp"
#include "policy/request_authorization.hpp"
#include "protocol/caller_protocol.hpp"

#include <optional>
#include <string>

namespace bamboohoist {

/// A caller's request that the ingress may send to targets: its route, its organisation and what is
/// derived from them once. The pointers are into the manifest and null until it is admitted.
struct admitted_request
{
    const route_spec* route_ = nullptr;
    const service_spec* service_ = nullptr;
    std::uint32_t service_index_ = 0; ///< In the manifest.
    request_organisation organisation_;
    bool idempotent_ = false;
    instant deadline_;
    header_list headers_; ///< As sent to targets.
};

/// Identifies, routes and checks a caller's request under the revision of a snapshot, which must
/// have one. Empty, with the reason, when the request is refused.
std::optional<admitted_request> admit_request(const traffic_context& context,
                                              const fleet_snapshot& fleet,
                                              const request_message& request,
                                              const request_metadata& metadata);

/// Whether this node can take on an admitted request now: it does not stop before the request's
/// deadline (`ends_at` is empty while it does not stop), and has memory for its body. False with
/// the reason.
bool can_take_on(const traffic_context& context, const admitted_request& admitted,
                 const request_message& request, const std::optional<instant>& ends_at);

/// One attempt of an admitted request, with the fields that all of its attempts have in common.
forwarded_request forward_request(const admitted_request& admitted, const request_message& request);

} // namespace bamboohoist

#endif
