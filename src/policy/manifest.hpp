#ifndef BAMBOOHOIST_POLICY_MANIFEST_HPP
#define BAMBOOHOIST_POLICY_MANIFEST_HPP

#include "core/ref_counted.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboohoist {

/// Why day staff decided something, for the operators who were not there.
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

/// Which error of the health decision costs a service more.
enum class health_goal
{
    detection_time,  ///< Late ejection costs more.
    false_ejections, ///< Ejecting a healthy backend server costs more.
    first_signs,     ///< Requests that hang cost most, and there is capacity to spare.
};

/// One service and the limits that its operators set.
struct service_spec
{
    std::string name_;
    health_goal health_goal_ = health_goal::detection_time;
    double floor_ = 0.5;                  ///< Share of the capacity that ejection never goes below.
    std::uint32_t queue_limit_ = 16;      ///< Requests that may wait at one guard for a slot.
    std::uint32_t timeout_ms_ = 5000;     ///< Deadline of a request that names none.
    double retry_budget_ = 0.2;           ///< Retries allowed per first attempt.
    std::uint32_t max_connections_ = 350; ///< Connections to one target.
    std::uint32_t retention_s_ = 3600;    ///< How long an idempotency key is remembered.
};

/// Whether the requests of a route may be run more than once.
enum class request_kind
{
    by_method, ///< As RFC 9110 says of the method.
    idempotent,
    non_idempotent,
};

/// How the prefix of a route is compared with a path.
enum class prefix_match
{
    segments, ///< Whole path segments; a slash at the end of the prefix does not count.
    literal,  ///< Byte for byte; the prefix ends with a slash.
};

/// One part of a route whose requests are divided between services.
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
    std::vector<route_part> parts_ = {};     ///< Shares of the requests by weight.
    request_kind kind_ = request_kind::by_method;
    prefix_match match_ = prefix_match::segments;
    std::uint32_t attempts_ = 4;   ///< Targets that one request may reach.
    std::uint32_t timeout_ms_ = 0; ///< Longest time to a final answer; 0 for no bound.
    std::uint32_t goal_ms_ = 0;    ///< Time within which an answer is worth most; 0 for none.
    std::uint32_t priority_ = 0;   ///< Rank under overload; 0 is the highest.
};

/// A customer of the users, known by a header.
struct organisation_spec
{
    std::string name_;
    double share_ = 1.0; ///< Weight in the fair division of slots under overload.
};

/// A planned stop of targets.
struct stop_plan
{
    std::string name_;
    std::string service_;       ///< Empty for any service.
    std::string target_;        ///< Empty for any target.
    std::string node_;          ///< Empty for any node.
    std::int64_t from_ms_ = 0;  ///< Milliseconds since the Unix epoch; 0 for at once.
    std::int64_t until_ms_ = 0; ///< Milliseconds since the Unix epoch; 0 for no end.
    day_note note_;
};

/// Everything that operators declare. Immutable once it is in force.
struct manifest : ref_counted<manifest>
{
    std::string organisation_header_ = "X-Organisation";
    std::uint64_t region_bytes_per_s_ = 1'000'000; ///< Budget of retries across regions, per node.
    std::vector<region_spec> regions_;
    std::vector<service_spec> services_;
    std::vector<route_spec> routes_;
    std::vector<organisation_spec> organisations_;
    std::vector<stop_plan> stop_plans_;
    std::vector<day_note> notes_;
};

} // namespace bamboohoist

#endif
