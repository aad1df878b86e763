#ifndef BAMBOOHOIST_POLICY_REQUEST_AUTHORIZATION_HPP
#define BAMBOOHOIST_POLICY_REQUEST_AUTHORIZATION_HPP

#include "policy/fleet.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboohoist {

/// What an ingress reads of a caller's request to decide whether to serve it.
struct incoming_request
{
    std::string_view host_;
    std::string_view path_;         ///< Without the query.
    std::string_view organisation_; ///< As named by the caller's header field; empty for none.
    std::string_view api_key_;      ///< Empty when there is none, or a malformed one.
};

/// The organisation for which a request is handled. The views are into the request and the
/// manifest.
struct request_organisation
{
    std::string_view name_;                   ///< Empty when the request has no organisation.
    const organisation_spec* spec_ = nullptr; ///< Null when the manifest does not declare it.
    std::uint32_t index_ = 0;                 ///< In the manifest; only valid with `spec_`.

    /// Weight when slots are divided under overload.
    double share() const;
};

/// A request that may be served.
struct authorized_request
{
    route_match route_;
    request_organisation organisation_;
    bool key_exempt_ = false; ///< Keys are required, but not on this route.
};

/// Routes a request and checks its API key under the revision in force. Where keys are required,
/// the organisation is that of the key, otherwise the one that the caller names.
///
/// Empty with `no_route`, `unknown_organisation`, `unusable_route` or, for an unknown or missing
/// key, `unknown_key`. That is final for a caller, so a node that knows a newer revision than the
/// one in force (`known_revision`) fails with `not_ready` instead.
std::optional<authorized_request> authorize_request(const active_revision& active,
                                                    std::uint64_t known_revision,
                                                    const incoming_request& request);

/// True for header fields that a target must not see as the caller sent them where keys are
/// required: those that may contain a key, and the organisation header, which the ingress sets.
bool is_withheld_header(const manifest& content, std::string_view name);

} // namespace bamboohoist

#endif
