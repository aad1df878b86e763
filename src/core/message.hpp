#ifndef BAMBOOHOIST_CORE_MESSAGE_HPP
#define BAMBOOHOIST_CORE_MESSAGE_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// One header field. Names are compared without regard to case.
struct header
{
    std::string name_;
    std::string value_;
};

using header_list = std::vector<header>;

/// A request with its whole body, independent of the protocol that carried it.
struct request_message
{
    std::string method_;
    std::string host_;
    std::string target_; ///< Path and query, as received.
    header_list headers_;
    std::string body_;
};

/// An answer with its whole body, independent of the protocol that carried it.
struct response_message
{
    int status_ = 0; ///< HTTP status code.
    header_list headers_;
    std::string body_;
};

/// True when two header names are equal without regard to case.
bool header_names_equal(std::string_view left, std::string_view right);

/// The value of the first header of this name.
std::optional<std::string_view> find_header(std::span<const header> headers, std::string_view name);

/// The path without the query.
std::string_view path_without_query(std::string_view target);

/// True for methods that may be run more than once without another effect (RFC 9110, 9.2.2).
bool is_idempotent_method(std::string_view method);

/// True for header fields that concern one connection only and must not be forwarded
/// (RFC 9110, 7.6.1).
bool is_hop_by_hop_header(std::string_view name);

/// True for header fields with the product's own prefix, which callers may not set.
bool is_internal_header(std::string_view name);

} // namespace bamboohoist

#endif
