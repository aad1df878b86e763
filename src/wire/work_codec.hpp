#ifndef BAMBOOHOIST_WIRE_WORK_CODEC_HPP
#define BAMBOOHOIST_WIRE_WORK_CODEC_HPP

#include "policy/work.hpp"
#include "wire/stream_message.hpp"

#include <optional>

namespace bamboohoist {

/// Work travels as one nghttp2 stream: the caller's fields as they are, the product's own with
/// the prefix `bamboohoist-`, which no caller can set.
stream_message encode_work(const work_request& request);

/// Empty with `bad_request` when a field is missing or malformed.
std::optional<work_request> decode_work(stream_message message);

stream_message encode_answer(const work_answer& answer);

/// Empty with `bad_request` when a field is missing or malformed.
std::optional<work_answer> decode_answer(stream_message message);

} // namespace bamboohoist

#endif
