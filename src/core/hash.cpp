#include "core/hash.hpp"

#include <cstdio>
#include <xxhash.h>

namespace bamboohoist {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash_parts(std::initializer_list<std::string_view> parts)
{
    std::uint64_t value = 0;
    for (const std::string_view part : parts)
    {
        value = hash_text(part, value + 1);
    }
    return value;
}

std::string content_address(std::string_view text)
{
    const XXH128_hash_t value = XXH3_128bits(text.data(), text.size());
    char digits[33];
    std::snprintf(digits, sizeof digits, "%016llx%016llx",
                  static_cast<unsigned long long>(value.high64),
                  static_cast<unsigned long long>(value.low64));
    return digits;
}

} // namespace bamboohoist
