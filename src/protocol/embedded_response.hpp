#ifndef BAMBOOHOIST_PROTOCOL_EMBEDDED_RESPONSE_HPP
#define BAMBOOHOIST_PROTOCOL_EMBEDDED_RESPONSE_HPP

#include <string_view>

namespace bamboohoist {

/// True when a body contains the head of a response with this field, or ends in the middle of a
/// head: a further response on the connection was received as a part of the body.
bool contains_response_head(std::string_view body, std::string_view field);

} // namespace bamboohoist

#endif
