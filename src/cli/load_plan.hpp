#ifndef BAMBOOHOIST_CLI_LOAD_PLAN_HPP
#define BAMBOOHOIST_CLI_LOAD_PLAN_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// One kind of request in a load and its relative share of the requests.
struct load_kind
{
    std::string name_;
    double share_ = 1.0;
    std::string method_ = "GET";
    std::string host_ = "localhost";
    std::string path_ = "/"; ///< `{n}` is replaced by the number of the request.
    std::string organisation_header_ = "X-Organisation";
    std::vector<std::string> organisations_; ///< One is chosen at random for each request.
    std::string body_;                       ///< `{n}` as in the path.
    bool keyed_ = false;                     ///< Sends an `Idempotency-Key`.
    std::uint32_t timeout_ms_ = 0;           ///< 0 uses the timeout of the service.
};

/// An open-loop load: requests at a fixed rate, independent of the responses.
struct load_plan
{
    std::vector<std::string> callers_; ///< `address:port` of servers, tried in turn.
    double rate_ = 100.0;              ///< Requests per second.
    double seconds_ = 5.0;
    double warm_up_s_ = 0.0;          ///< Requests of this period are not measured.
    std::uint32_t resends_ = 0;       ///< Resends of one request, where a resend is safe.
    std::uint32_t connections_ = 256; ///< To each server.
    std::uint32_t generators_ = 1;    ///< Number of sending threads.
    std::vector<load_kind> kinds_;
};

/// Parses a load description; on failure the last reason says what is wrong.
std::optional<load_plan> parse_load_plan(std::string_view text);

} // namespace bamboohoist

#endif
