#ifndef BAMBOOHOIST_HTTP_BODY_FRAMING_HPP
#define BAMBOOHOIST_HTTP_BODY_FRAMING_HPP

#include <string_view>

namespace bamboohoist {

/// What marks the end of a response's body (RFC 9112, 6.3).
enum class body_framing
{
    none,             ///< No head has arrived, or the response has no body by its status or method.
    length,           ///< `Content-Length`.
    chunked,          ///< `Transfer-Encoding: chunked`.
    connection_close, ///< Neither; the body ends with its connection.
};

std::string_view to_string(body_framing framing);

} // namespace bamboohoist

#endif
