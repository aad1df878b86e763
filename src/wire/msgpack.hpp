#ifndef BAMBOOHOIST_WIRE_MSGPACK_HPP
#define BAMBOOHOIST_WIRE_MSGPACK_HPP

#include "core/error.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

inline std::string pack(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

/// Runs a decoder over MessagePack bytes. The library reports malformed input by exceptions; this
/// function turns them into an empty optional with the reason `bad_request`.
template <typename Decoder>
auto unpack(std::string_view bytes, Decoder decode)
    -> std::optional<decltype(decode(std::declval<const nlohmann::json&>()))>
{
    try
    {
        return decode(nlohmann::json::from_msgpack(bytes));
    }
    catch (const std::exception& error)
    {
        return fail(error_kind::bad_request,
                    std::string("malformed message from a peer: ") + error.what());
    }
}

} // namespace bamboohoist

#endif
