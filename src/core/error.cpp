#include "core/error.hpp"

#include <algorithm>
#include <array>

namespace bamboohoist {

namespace {

constexpr std::array table{
    error_response{error_kind::none, "none", 200, outcome::ran},
    error_response{error_kind::bad_request, "bad-request", 400, outcome::not_run},
    error_response{error_kind::no_route, "no-route", 404, outcome::not_run},
    error_response{error_kind::unknown_organisation, "unknown-organisation", 403, outcome::not_run},
    error_response{error_kind::unknown_key, "unknown-key", 401, outcome::not_run},
    error_response{error_kind::quota_exceeded, "quota-exceeded", 429, outcome::not_run},
    error_response{error_kind::unusable_route, "unusable-route", 503, outcome::not_run},
    error_response{error_kind::body_too_large, "body-too-large", 413, outcome::not_run},
    error_response{error_kind::not_ready, "not-ready", 503, outcome::not_run},
    error_response{error_kind::leaving, "leaving", 503, outcome::not_run},
    error_response{error_kind::no_target, "no-target", 503, outcome::not_run},
    error_response{error_kind::overloaded, "overloaded", 503, outcome::not_run},
    error_response{error_kind::budget_exhausted, "budget-exhausted", 503, outcome::not_run},
    error_response{error_kind::deadline_exceeded, "deadline-exceeded", 504, outcome::unknown},
    error_response{error_kind::cancelled, "cancelled", 499, outcome::unknown},
    error_response{error_kind::peer_unreachable, "peer-unreachable", 502, outcome::unknown},
    error_response{error_kind::target_unreachable, "target-unreachable", 502, outcome::not_run},
    error_response{error_kind::target_refused, "target-refused", 503, outcome::not_run},
    error_response{error_kind::target_ejected, "target-ejected", 503, outcome::not_run},
    error_response{error_kind::target_failed, "target-failed", 502, outcome::ran},
    error_response{error_kind::target_lost, "target-lost", 502, outcome::unknown},
    error_response{error_kind::target_stalled, "target-stalled", 504, outcome::unknown},
    error_response{error_kind::target_crashed, "target-crashed", 502, outcome::unknown},
    error_response{error_kind::response_too_large, "answer-too-large", 502, outcome::ran},
    error_response{error_kind::key_reused, "key-reused", 422, outcome::not_run},
    error_response{error_kind::still_running, "still-running", 409, outcome::unknown},
    error_response{error_kind::response_lost, "answer-lost", 502, outcome::unknown},
    error_response{error_kind::store_unavailable, "store-unavailable", 503, outcome::not_run},
    error_response{error_kind::quarantined, "quarantined", 503, outcome::not_run},
    error_response{error_kind::bad_settings, "bad-settings", 400, outcome::not_run},
    error_response{error_kind::bad_manifest, "bad-manifest", 400, outcome::not_run},
    error_response{error_kind::revision_conflict, "revision-conflict", 409, outcome::not_run},
    error_response{error_kind::not_accepted, "not-accepted", 504, outcome::unknown},
    error_response{error_kind::not_found, "not-found", 404, outcome::not_run},
    error_response{error_kind::internal, "internal", 500, outcome::unknown},
};

constexpr std::array<std::string_view, 3> outcome_names{"ran", "not-run", "unknown"};

thread_local reason current_reason;

} // namespace

std::span<const error_response> error_table()
{
    return table;
}

const error_response& error_response_for(error_kind kind)
{
    return table[static_cast<std::size_t>(kind)];
}

std::optional<error_kind> parse_error_kind(std::string_view name)
{
    const auto row = std::ranges::find(table, name, &error_response::name_);
    if (row == table.end())
    {
        return std::nullopt;
    }
    return row->kind_;
}

std::string_view to_string(outcome value)
{
    return outcome_names[static_cast<std::size_t>(value)];
}

std::optional<outcome> parse_outcome(std::string_view name)
{
    const auto found = std::ranges::find(outcome_names, name);
    if (found == outcome_names.end())
    {
        return std::nullopt;
    }
    return static_cast<outcome>(found - outcome_names.begin());
}

const reason& last_reason()
{
    return current_reason;
}

std::nullopt_t fail(error_kind kind, std::string_view text)
{
    current_reason = reason{kind, std::string(text)};
    return std::nullopt;
}

} // namespace bamboohoist
