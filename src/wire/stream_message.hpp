#ifndef BAMBOOHOIST_WIRE_STREAM_MESSAGE_HPP
#define BAMBOOHOIST_WIRE_STREAM_MESSAGE_HPP

#include "core/message.hpp"

#include <string>

namespace bamboohoist {

/// The message in one direction of an nghttp2 stream: header fields and a body.
struct stream_message
{
    header_list fields_; ///< Pseudo-header fields first, then the others; names in lower case.
    std::string body_;
    bool body_dropped_ = false; ///< The body did not fit into memory and is empty.
};

} // namespace bamboohoist

#endif
