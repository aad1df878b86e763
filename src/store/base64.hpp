#ifndef BAMBOOHOIST_STORE_BASE64_HPP
#define BAMBOOHOIST_STORE_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Base64 of RFC 4648 with padding.
std::string encode_base64(std::string_view bytes);

/// Empty when the text is not valid base64.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace bamboohoist

#endif
