#include "policy/request_authorization.hpp"

#include "core/error.hpp"
#include "core/message.hpp"

#include <algorithm>
#include <string>

namespace bamboohoist {

namespace {

request_organisation organisation_at(const manifest& content, std::uint32_t index)
{
    const organisation_spec& spec = content.organisations_[index];
    return {spec.name_, &spec, index};
}

/// The organisation that the caller names, declared or not.
request_organisation find_named(const active_revision& active, std::string_view name)
{
    const auto index = active.routes_.find_organisation(name);
    return index ? organisation_at(*active.manifest_, *index) : request_organisation{name};
}

/// The organisation that holds the key; without a name when none does.
request_organisation find_holder(const active_revision& active,
                                 const std::optional<key_digest>& key)
{
    const auto index = key ? active.keys_.find(*key) : std::nullopt;
    return index ? organisation_at(*active.manifest_, *index) : request_organisation{};
}

std::nullopt_t refuse_key(const active_revision& active, std::uint64_t known_revision,
                          const std::optional<key_digest>& key)
{
    std::string text = "the API key (fingerprint " + (key ? key_fingerprint(*key) : "none") +
                       ") is not one of revision " + std::to_string(active.revision_);
    if (known_revision > active.revision_)
    {
        return fail(error_kind::not_ready, text + ", and this node does not use revision " +
                                               std::to_string(known_revision) + " yet");
    }
    return fail(error_kind::unknown_key, text);
}

} // namespace

double request_organisation::share() const
{
    return spec_ != nullptr ? spec_->share_ : 1.0;
}

std::optional<authorized_request> authorize_request(const active_revision& active,
                                                    std::uint64_t known_revision,
                                                    const incoming_request& request)
{
    const manifest& content = *active.manifest_;
    std::optional<key_digest> key;
    if (content.keys_required_ && !request.api_key_.empty())
    {
        key = digest_of_key(request.api_key_);
    }
    const request_organisation organisation = content.keys_required_
                                                  ? find_holder(active, key)
                                                  : find_named(active, request.organisation_);
    const bool key_missing = content.keys_required_ && organisation.spec_ == nullptr;
    const auto found = active.routes_.match(request.host_, request.path_, organisation.name_);
    if (!found)
    {
        // There is a route, but only for organisations, and this request is of none.
        const bool needs_key =
            key_missing && last_reason().kind_ == error_kind::unknown_organisation;
        return needs_key ? refuse_key(active, known_revision, key) : std::nullopt;
    }
    const route_spec& route = content.routes_[found->route_];
    if (!route.unusable_.empty())
    {
        return fail(error_kind::unusable_route, route.unusable_);
    }
    const bool exempt = content.keys_required_ && route.key_exempt_;
    if (key_missing && !exempt)
    {
        return refuse_key(active, known_revision, key);
    }
    return authorized_request{*found, organisation, exempt};
}

bool is_withheld_header(const manifest& content, std::string_view name)
{
    if (!content.keys_required_)
    {
        return false;
    }
    // Some servers take an underscore in the name of a field for a hyphen.
    std::string hyphenated(name);
    std::ranges::replace(hyphenated, '_', '-');
    return header_names_equal(hyphenated, "Authorization") ||
           header_names_equal(hyphenated, "Proxy-Authorization") ||
           header_names_equal(hyphenated, content.organisation_header_) ||
           header_names_equal(name, content.organisation_header_);
}

} // namespace bamboohoist
