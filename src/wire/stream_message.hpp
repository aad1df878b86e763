#ifndef BAMBOOHOIST_WIRE_STREAM_MESSAGE_HPP
#define BAMBOOHOIST_WIRE_STREAM_MESSAGE_HPP

#include "core/message.hpp"

#include <string>
#include <string_view>

namespace bamboohoist {

/// Names the kind of a call between nodes that is not a caller's request. Callers cannot set it.
constexpr std::string_view internal_call_field = "bamboohoist-call";

/// The message in one direction of an nghttp2 stream: header fields and a body.
struct stream_message
{
    header_list fields_; ///< Pseudo-header fields first, then the others; names in lower case.
    std::string body_;
    bool body_dropped_ = false; ///< The body did not fit into memory and is empty.
};

} // namespace bamboohoist

#endif
