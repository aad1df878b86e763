#ifndef BAMBOOHOIST_TESTING_PLATFORM_MESSAGES_HPP
#define BAMBOOHOIST_TESTING_PLATFORM_MESSAGES_HPP

#include "core/message.hpp"

#include <string>
#include <string_view>

namespace bamboohoist::testing {

/// A target's response in the platform's format.
response_message make_signed_response(const request_message& request, std::string body);

/// A caller's request in the platform's format, without an API key.
request_message make_request(std::string_view method, std::string_view path);

} // namespace bamboohoist::testing

#endif
