#ifndef BAMBOOHOIST_CORE_MESSAGE_HPP
#define BAMBOOHOIST_CORE_MESSAGE_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// One header field. Names are case-insensitive.
struct header
{
    std::string name_;
    std::string value_;
};

using header_list = std::vector<header>;

/// A request with its complete body, independent of the protocol.
struct request_message
{
    std::string method_;
    std::string host_;
    std::string target_; ///< Path and query, as received.
    header_list headers_;
    std::string body_;
};

/// A response with its complete body, independent of the protocol.
struct response_message
{
    int status_ = 0; ///< HTTP status code.
    header_list headers_;
    std::string body_;
};

/// Statuses from this one on say that the server failed (RFC 9110, 15.6).
inline constexpr int first_server_error_status = 500;

/// Returns true when two header names are equal, ignoring case.
bool header_names_equal(std::string_view left, std::string_view right);

/// Returns true when a field name has only the characters of a token (RFC 9110, 5.1). Another name
/// may be read differently by each hop.
bool is_field_name(std::string_view name);

/// Returns the value of the first header with this name.
std::optional<std::string_view> find_header(std::span<const header> headers, std::string_view name);

/// Returns the path of a request target, without the query.
std::string_view path_without_query(std::string_view target);

/// Returns true for methods that are idempotent by RFC 9110, 9.2.2.
bool is_idempotent_method(std::string_view method);

/// Returns true for header fields that apply to a single connection and must not be forwarded
/// (RFC 9110, 7.6.1).
bool is_hop_by_hop_header(std::string_view name);

/// Returns true for header fields with the prefix `bamboohoist-`, which callers may not set.
bool is_internal_header(std::string_view name);

} // namespace bamboohoist

#endif
