#include "daemon/request_admission.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

std::optional<authorized_request> authorize(const traffic_context& context,
                                            const fleet_snapshot& fleet,
                                            const request_message& request,
                                            const request_metadata& metadata)
{
    const active_revision& active = *fleet.active_;
    const auto named = find_header(request.headers_, active.manifest_->organisation_header_);
    auto authorized = authorize_request(active, fleet.known_revision_,
                                        {.host_ = request.host_,
                                         .path_ = path_without_query(request.target_),
                                         .organisation_ = named.value_or(std::string_view{}),
                                         .api_key_ = metadata.api_key_});
    if (!authorized && last_reason().kind_ == error_kind::unknown_key)
    {
        context.metrics_.add(counter::requests_unauthenticated);
    }
    if (authorized && authorized->key_exempt_)
    {
        context.metrics_.add(counter::requests_key_exempt);
    }
    return authorized;
}

/// The header fields that targets receive.
header_list forwarded_headers(const manifest& content, const caller_protocol& callers,
                              const request_message& request,
                              const request_organisation& organisation)
{
    header_list headers;
    std::ranges::copy_if(request.headers_, std::back_inserter(headers), [&](const header& field) {
        return !is_hop_by_hop_header(field.name_) && !is_internal_header(field.name_) &&
               !callers.strips_header(field.name_) && !is_withheld_header(content, field.name_);
    });
    if (content.keys_required_ && organisation.spec_ != nullptr)
    {
        headers.push_back(header{content.organisation_header_, std::string(organisation.name_)});
    }
    return headers;
}

duration time_limit(const route_spec& route, const service_spec& service,
                    const std::optional<duration>& time_left)
{
    const duration left = time_left.value_or(std::chrono::milliseconds(service.timeout_ms_));
    return route.timeout_ms_ == 0
               ? left
               : std::min<duration>(left, std::chrono::milliseconds(route.timeout_ms_));
}

} // namespace

std::optional<admitted_request> admit_request(const traffic_context& context,
                                              const fleet_snapshot& fleet,
                                              const request_message& request,
                                              const request_metadata& metadata)
{
    // "Authorization " with a blank would not be removed, and nghttp2 ends a stream that carries
    // it.
    if (!std::ranges::all_of(request.headers_, &is_field_name, &header::name_))
    {
        return fail(error_kind::bad_request, "the name of a header field is not a token");
    }
    const auto authorized = authorize(context, fleet, request, metadata);
    if (!authorized)
    {
        return std::nullopt;
    }
    const active_revision& active = *fleet.active_;
    const manifest& content = *active.manifest_;
    const route_spec& route = content.routes_[authorized->route_.route_];
    admitted_request admitted;
    admitted.route_ = &route;
    admitted.service_index_ =
        active.routes_.choose_service(authorized->route_, context.random_.uniform());
    admitted.service_ = &content.services_[admitted.service_index_];
    admitted.organisation_ = authorized->organisation_;
    admitted.idempotent_ = route.kind_ == request_kind::by_method
                               ? is_idempotent_method(request.method_)
                               : route.kind_ == request_kind::idempotent;
    admitted.deadline_ =
        context.clock_.now() + time_limit(route, *admitted.service_, metadata.time_left_);
    admitted.headers_ = forwarded_headers(content, context.deployment_.callers(), request,
                                          authorized->organisation_);
    return admitted;
}

bool can_take_on(const traffic_context& context, const admitted_request& admitted,
                 const request_message& request, const std::optional<instant>& ends_at)
{
    if (ends_at && admitted.deadline_ > *ends_at)
    {
        fail(error_kind::leaving, "this node stops before the request's deadline");
        return false;
    }
    if (!context.loop_.memory().has_room(memory_use::transit, request.body_.size()))
    {
        context.metrics_.add(counter::memory_refused);
        fail(error_kind::overloaded,
             "the memory limit of this node leaves no room for the request");
        return false;
    }
    return true;
}

forwarded_request forward_request(const admitted_request& admitted, const request_message& request)
{
    forwarded_request forwarded;
    forwarded.service_ = admitted.service_->name_;
    forwarded.organisation_ = std::string(admitted.organisation_.name_);
    forwarded.share_ = admitted.organisation_.share();
    forwarded.rank_ = rank_of(*admitted.route_, admitted.organisation_.spec_);
    forwarded.idempotent_ = admitted.idempotent_;
    forwarded.message_.method_ = request.method_;
    forwarded.message_.host_ = request.host_;
    forwarded.message_.target_ = request.target_;
    forwarded.message_.headers_ = admitted.headers_;
    forwarded.message_.body_ = request.body_;
    return forwarded;
}

} // namespace bamboohoist
