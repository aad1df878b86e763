#ifndef BAMBOOHOIST_HTTP_REQUEST_FRAMING_HPP
#define BAMBOOHOIST_HTTP_REQUEST_FRAMING_HPP

#include "core/message.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace bamboohoist {

/// True when one field tells where the body ends, or none does because there is no body
/// (RFC 9112, 6.3). Otherwise bytes of the body could be taken for the next request.
bool has_clear_end(std::span<const header> headers);

/// The announced length of a request's body; empty when there is none or it can't be counted.
std::optional<std::size_t> announced_length(std::span<const header> headers);

} // namespace bamboohoist

#endif
