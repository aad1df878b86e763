#include "http/transfer_body.hpp"

#include "http/status_line.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <sys/socket.h>

namespace bamboohoist {

namespace {

constexpr std::array<std::string_view, 4> framing_names{"none", "length", "chunked",
                                                        "connection-close"};

constexpr int no_content_status = 204;
constexpr int not_modified_status = 304;

char to_lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

bool has_no_body(std::string_view method, int status)
{
    return method == "HEAD" || status < first_final_status || status == no_content_status ||
           status == not_modified_status;
}

/// True when the connection was to be closed after the response.
bool announces_close(CURL* easy, const response_message& response)
{
    long version = 0;
    ::curl_easy_getinfo(easy, CURLINFO_HTTP_VERSION, &version);
    const auto options = find_header(response.headers_, "Connection").value_or("");
    constexpr std::string_view close = "close";
    const auto found =
        std::search(options.begin(), options.end(), close.begin(), close.end(),
                    [](char letter, char wanted) { return to_lower(letter) == wanted; });
    return version == CURL_HTTP_VERSION_1_0 || found != options.end();
}

/// True when bytes followed the body. libcurl closes the connection when it has read some of them
/// with the body, and leaves them unread otherwise.
bool is_followed_by_bytes(CURL* easy, const response_message& response)
{
    curl_socket_t kept = CURL_SOCKET_BAD;
    ::curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &kept);
    if (kept == CURL_SOCKET_BAD)
    {
        return !announces_close(easy, response);
    }
    char byte = 0;
    return ::recv(kept, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace

std::string_view to_string(body_framing framing)
{
    return framing_names[static_cast<std::size_t>(framing)];
}

body_framing find_framing(std::string_view method, const response_message& response,
                          curl_off_t length)
{
    if (has_no_body(method, response.status_))
    {
        return body_framing::none;
    }
    const auto coding = find_header(response.headers_, "Transfer-Encoding");
    if (coding)
    {
        return header_names_equal(*coding, "chunked") ? body_framing::chunked
                                                      : body_framing::connection_close;
    }
    // Negative also for a length that is too large to be counted.
    return length >= 0 ? body_framing::length : body_framing::connection_close;
}

bool uses_old_connection(CURL* easy)
{
    long new_connections = 0;
    ::curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &new_connections);
    return new_connections == 0;
}

bool holds_next_response(CURL* easy, const response_message& response)
{
    const bool has_status_line = ends_in_status_line(response.body_, 1) ||
                                 find_status_line(response.body_, 0) != std::string_view::npos;
    return has_status_line && is_followed_by_bytes(easy, response);
}

} // namespace bamboohoist
