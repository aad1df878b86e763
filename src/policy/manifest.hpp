#ifndef BAMBOOHOIST_POLICY_MANIFEST_HPP
#define BAMBOOHOIST_POLICY_MANIFEST_HPP

#include "core/key_digest.hpp"
#include "core/ref_counted.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboohoist {

/// The reason for a decision of the day staff, recorded for operators who were not present.
struct day_note
{
    std::string who_;
    std::string why_;
    std::string until_; ///< Free text or a date; may be empty.

    bool operator==(const day_note&) const = default;
};

/// A region and its failure domains.
struct region_spec
{
    std::string name_;
    std::vector<std::string> domains_;
};

/// Which kind of wrong health decision costs a service more.
enum class health_goal
{
    detection_time,  ///< Late ejection costs more.
    false_ejections, ///< Ejecting a healthy backend server costs more.
    first_signs,     ///< Hanging requests cost most, and there is spare capacity.
};

/// One service and its limits, as set by the operators.
struct service_spec
{
    std::string name_;
    health_goal health_goal_ = health_goal::detection_time;
    double floor_ = 0.5;                  ///< Fraction of the capacity that is never ejected.
    std::uint32_t queue_limit_ = 16;      ///< Requests that may wait at one guard for a slot.
    std::uint32_t timeout_ms_ = 5000;     ///< Deadline of a request that states none.
    double retry_budget_ = 0.2;           ///< Retries allowed per first attempt.
    std::uint32_t max_connections_ = 350; ///< Connections to one target.
    std::uint32_t retention_s_ = 3600;    ///< How long an idempotency key is kept.
};

/// Whether the requests of a route may be run more than once.
enum class request_kind
{
    by_method, ///< As RFC 9110 defines for the method.
    idempotent,
    non_idempotent,
};

/// How the prefix of a route is matched against a path.
enum class prefix_match
{
    segments, ///< By complete path segments; a slash at the end of the prefix is ignored.
    literal,  ///< Byte for byte; the prefix ends with a slash.
};

/// One of the services between which the requests of a route are divided, with its weight.
struct route_part
{
    std::string service_;
    std::uint32_t weight_ = 1;

    bool operator==(const route_part&) const = default;
};

/// Sends requests of a host and path prefix to a service.
struct route_spec
{
    std::string host_; ///< `*` for any host.
    std::string prefix_;
    std::string service_;                    ///< Empty when `parts_` divide the route.
    std::vector<std::string> organisations_; ///< Empty for all.
    std::vector<route_part> parts_ = {};     ///< Divide the requests by weight.
    request_kind kind_ = request_kind::by_method;
    prefix_match match_ = prefix_match::segments;
    std::uint32_t max_targets_reached_ = 4; ///< Targets that one request may reach.
    std::uint32_t timeout_ms_ = 0;          ///< Longest time to the final response; 0 for no limit.
    std::uint32_t goal_ms_ = 0;             ///< Desired response time; 0 for none.
    std::uint32_t priority_ = 0;            ///< Rank under overload; 0 is the highest.
    bool key_exempt_ = false;               ///< Its requests need no API key.
    /// Why the requests of this route are refused; empty when they are served. Set for routes of
    /// which this build does not understand where their requests go.
    std::string unusable_ = {};
};

/// An organisation (a customer of the users), identified by an API key where the manifest requires
/// keys, else by a request header.
struct organisation_spec
{
    std::string name_;
    double share_ = 1.0; ///< Weight when slots are divided under overload.
    std::vector<key_digest> keys_ = {};
    /// Rank under overload, before that of the route; 0 is the highest. Empty when not declared.
    std::optional<std::uint32_t> priority_ = {};
    double rate_per_s_ = 0.0; ///< Quota of requests a second over all nodes; 0 for no limit.
    double burst_ = 0.0;      ///< Requests that may come at once beyond the rate.
};

/// A planned stop of targets.
struct stop_plan
{
    std::string name_;
    std::string service_;       ///< Empty for any service.
    std::string target_;        ///< Empty for any target.
    std::string node_;          ///< Empty for any node.
    std::int64_t from_ms_ = 0;  ///< Milliseconds since the Unix epoch; 0 for immediately.
    std::int64_t until_ms_ = 0; ///< Milliseconds since the Unix epoch; 0 for no end.
    day_note note_;
};

/// The complete configuration that operators declare. Immutable once it is in force.
struct manifest : ref_counted<manifest>
{
    std::string organisation_header_ = "X-Organisation";
    bool keys_required_ = false; ///< Requests carry an API key, except on exempt routes.
    /// Budget of each node for requests to other regions.
    std::uint64_t region_bytes_per_s_ = 1'000'000;
    std::vector<region_spec> regions_;
    std::vector<service_spec> services_;
    std::vector<route_spec> routes_;
    std::vector<organisation_spec> organisations_;
    std::vector<stop_plan> stop_plans_;
    std::vector<day_note> notes_;
};

} // namespace bamboohoist

#endif
