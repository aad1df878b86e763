#ifndef BAMBOOHOIST_HTTP_TRANSFER_BODY_HPP
#define BAMBOOHOIST_HTTP_TRANSFER_BODY_HPP

#include "core/message.hpp"
#include "http/body_framing.hpp"

#include <curl/curl.h>

namespace bamboohoist {

/// The first status that ends an exchange; those below it announce another response.
inline constexpr int first_final_status = 200;

/// What ends the body of a response. `length` is what libcurl has read from `Content-Length`;
/// negative without one.
body_framing find_framing(std::string_view method, const response_message& response,
                          curl_off_t length);

/// True when the transfer was sent over a connection that had carried a request before.
bool uses_old_connection(CURL* easy);

/// True when a second response has filled up a body that broke off: a status line begins in the
/// body, and more bytes followed it.
bool holds_next_response(CURL* easy, const response_message& response);

} // namespace bamboohoist

#endif
