#ifndef BAMBOOHOIST_CORE_ERROR_HPP
#define BAMBOOHOIST_CORE_ERROR_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohoist {

/// What is known about whether a request was executed by a target.
enum class outcome
{
    ran,
    not_run,
    unknown,
};

/// The closed list of everything that can go wrong. Each kind has one row in `error_table()`.
enum class error_kind
{
    none,
    bad_request,
    no_route,
    unknown_organisation,
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
    target_refused, ///< The target said that it did not run the request.
    target_ejected, ///< The guard gives the target no work for now.
    target_failed,  ///< The target ran the request and answered with a server error.
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

/// The answer that a caller or an operator receives for one error kind.
struct error_response
{
    error_kind kind_;
    std::string_view name_;
    int status_;      ///< HTTP status code.
    outcome outcome_; ///< Outcome reported when the failing party has no better knowledge.
};

/// All rows, ordered by `error_kind`.
std::span<const error_response> error_table();

/// The row of one kind.
const error_response& error_response_for(error_kind kind);

/// Parses the name of a kind; empty when there is none of this name.
std::optional<error_kind> parse_error_kind(std::string_view name);

/// The name that goes into headers and events: `ran`, `not-run` or `unknown`.
std::string_view to_string(outcome value);

/// Parses the name of an outcome.
std::optional<outcome> parse_outcome(std::string_view name);

/// Why the last operation on this thread returned an empty optional.
struct reason
{
    error_kind kind_ = error_kind::none;
    std::string text_;
};

/// The last reason recorded on this thread. Meaningful only right after an empty optional.
const reason& last_reason();

/// Records the reason and returns the empty optional, for use in return statements.
std::nullopt_t fail(error_kind kind, std::string_view text);

} // namespace bamboohoist

#endif
