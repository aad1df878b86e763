#ifndef BAMBOOHOIST_PROTOCOL_API_KEY_HPP
#define BAMBOOHOIST_PROTOCOL_API_KEY_HPP

#include "core/message.hpp"

#include <span>
#include <string_view>

namespace bamboohoist {

/// The API key in `Authorization: SCHEME KEY`, as a view into the field. The scheme is
/// case-insensitive. Empty when there is no such field, when it is malformed or has another scheme,
/// and when there are several, since a request has one key.
std::string_view read_api_key(std::span<const header> headers, std::string_view scheme);

/// Adds the field that names the scheme to a response with status 401 (RFC 9110, 15.5.2).
void add_challenge(response_message& response, std::string_view scheme);

} // namespace bamboohoist

#endif
