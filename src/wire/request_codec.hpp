#ifndef BAMBOOHOIST_WIRE_REQUEST_CODEC_HPP
#define BAMBOOHOIST_WIRE_REQUEST_CODEC_HPP

#include "policy/forwarded_request.hpp"
#include "wire/stream_message.hpp"

#include <optional>

namespace bamboohoist {

/// Encodes a forwarded request for one nghttp2 stream: the caller's fields unchanged, and internal
/// fields with the prefix `bamboohoist-`, which callers cannot set.
stream_message encode_request(forwarded_request request);

/// Empty with `bad_request` when a field is missing or malformed.
std::optional<forwarded_request> decode_request(stream_message message);

stream_message encode_response(forwarded_response response);

/// Empty with `bad_request` when a field is missing or malformed.
std::optional<forwarded_response> decode_response(stream_message message);

} // namespace bamboohoist

#endif
