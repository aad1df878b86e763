#ifndef BAMBOOHOIST_CORE_ERROR_HPP
#define BAMBOOHOIST_CORE_ERROR_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Whether a target has executed a request, as far as this is known.
enum class outcome
{
    ran,
    not_run,
    unknown,
};

/// All kinds of errors. Each kind has one row in `error_table()`.
enum class error_kind
{
    none,
    bad_request,
    no_route,
    unknown_organisation,
    unknown_key,    ///< The request carries no API key that the configuration in force knows.
    quota_exceeded, ///< The organisation has used up its quota.
    unusable_route, ///< The configuration does not say in a known way where the requests go.
    body_too_large,
    not_ready,
    leaving,
    no_target,
    overloaded,
    budget_exhausted,
    deadline_exceeded,
    cancelled,
    peer_unreachable,
    target_unreachable,
    target_refused, ///< The target reported that it did not execute the request.
    target_ejected, ///< The guard currently sends no requests to the target.
    target_failed,  ///< The target executed the request and returned a server error.
    target_lost,
    target_stalled,
    target_crashed,
    response_too_large,
    key_reused,
    still_running,
    response_lost,
    store_unavailable,
    quarantined,
    bad_settings,
    bad_manifest,
    revision_conflict,
    not_accepted,
    not_found,
    internal,
};

/// The response that a caller or an operator receives for one kind of error.
struct error_response
{
    error_kind kind_;
    std::string_view name_;
    int status_;      ///< HTTP status code.
    outcome outcome_; ///< Outcome to report when the failing component knows nothing more precise.
};

/// Returns all rows, ordered by `error_kind`.
std::span<const error_response> error_table();

/// Returns the row of a kind.
const error_response& error_response_for(error_kind kind);

/// Parses the name of an error kind. Returns an empty optional when the name is unknown.
std::optional<error_kind> parse_error_kind(std::string_view name);

/// Returns the name used in headers and events: `ran`, `not-run` or `unknown`.
std::string_view to_string(outcome value);

/// Parses the name of an outcome. Returns an empty optional when the name is unknown.
std::optional<outcome> parse_outcome(std::string_view name);

/// The reason why an operation returned an empty optional.
struct reason
{
    error_kind kind_ = error_kind::none;
    std::string text_;
};

/// Returns the last reason recorded on this thread. Only valid directly after an operation has
/// returned an empty optional.
const reason& last_reason();

/// Records the reason for this thread and returns an empty optional, for use in return statements.
std::nullopt_t fail(error_kind kind, std::string_view text);

} // namespace bamboohoist

#endif
