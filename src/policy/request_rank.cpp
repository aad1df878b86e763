#include "policy/request_rank.hpp"

#include <charconv>

namespace bamboohoist {

namespace {

std::optional<std::uint32_t> parse_priority(std::string_view text)
{
    std::uint32_t value = 0;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    return error == std::errc() && end == last ? std::optional(value) : std::nullopt;
}

} // namespace

request_rank rank_of(const route_spec& route, const organisation_spec* organisation)
{
    return {organisation == nullptr ? 0 : organisation->priority_.value_or(0), route.priority_};
}

std::string to_string(const request_rank& rank)
{
    return std::to_string(rank.organisation_) + "/" + std::to_string(rank.route_);
}

std::optional<request_rank> parse_request_rank(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto organisation = parse_priority(text.substr(0, slash));
    const auto route = parse_priority(text.substr(slash + 1));
    return organisation && route ? std::optional(request_rank{*organisation, *route})
                                 : std::nullopt;
}

} // namespace bamboohoist
