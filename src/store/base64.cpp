#include "store/base64.hpp"

#include <boost/beast/core/detail/base64.hpp>

namespace bamboohoist {

namespace base64 = boost::beast::detail::base64;

std::string encode_base64(std::string_view bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    std::string_view body = text;
    while (!body.empty() && body.back() == '=')
    {
        body.remove_suffix(1);
    }
    const auto [written, consumed] = base64::decode(bytes.data(), text.data(), text.size());
    if (consumed < body.size())
    {
        return std::nullopt;
    }
    bytes.resize(written);
    return bytes;
}

} // namespace bamboohoist
