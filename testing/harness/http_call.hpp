#ifndef BAMBOOHOIST_TESTING_HTTP_CALL_HPP
#define BAMBOOHOIST_TESTING_HTTP_CALL_HPP

#include "core/clock.hpp"
#include "core/message.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist::testing {

/// Sends one HTTP request and waits for its response; empty when no complete response arrives
/// within the time-out.
std::optional<response_message> http_call(std::string_view server, request_message request,
                                          duration timeout = std::chrono::seconds(15));

/// The status and the parsed body of a response.
struct json_reply
{
    int status_ = 0;
    nlohmann::json body_;
};

/// Sends one request with a JSON body. Throws when there is no response.
json_reply json_call(std::string_view server, std::string_view method, std::string_view target,
                     const nlohmann::json& body = nullptr,
                     duration timeout = std::chrono::seconds(15));

} // namespace bamboohoist::testing

#endif
