#ifndef BAMBOOHOIST_CORE_HASH_HPP
#define BAMBOOHOIST_CORE_HASH_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Returns the 64-bit XXH3 hash of a text.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/// Returns a 64-bit hash of several texts. It depends on where one part ends and the next begins.
std::uint64_t hash_parts(std::initializer_list<std::string_view> parts);

/// Returns the 128-bit XXH3 hash of a text as 32 hexadecimal digits, for use as a content address.
std::string content_address(std::string_view text);

/// Transparent hash for maps with `std::string` keys, so that they can be searched with a
/// `std::string_view`.
struct string_view_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return hash_text(text);
    }
};

} // namespace bamboohoist

#endif
