#ifndef BAMBOOHOIST_POLICY_REQUEST_RANK_HPP
#define BAMBOOHOIST_POLICY_REQUEST_RANK_HPP

#include "policy/manifest.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// How urgent a request is under overload: first the priority of its organisation, then that of its
/// route. Numbers are as declared, so a smaller rank is more urgent and goes first.
struct request_rank
{
    std::uint32_t organisation_ = 0;
    std::uint32_t route_ = 0;

    auto operator<=>(const request_rank&) const = default;
};

/// The rank of a request. Without a declared organisation (nullptr), or where it declares no
/// priority, the organisation's part is 0, the highest: calls that targets make while they run a
/// request name no organisation, and refusing one wastes work that is already done.
request_rank rank_of(const route_spec& route, const organisation_spec* organisation);

/// The rank as text: `ORGANISATION/ROUTE`, both decimal.
std::string to_string(const request_rank& rank);

/// Reads what `to_string()` writes; empty when the text is anything else.
std::optional<request_rank> parse_request_rank(std::string_view text);

} // namespace bamboohoist

#endif
