#ifndef BAMBOOHOIST_CORE_KEY_DIGEST_HPP
#define BAMBOOHOIST_CORE_KEY_DIGEST_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// The digest of an API key: the first 16 bytes of its SHA-256 hash. Configurations and tables
/// contain digests only, so that a key cannot be read from them.
struct key_digest
{
    static constexpr std::size_t size = 16;

    std::array<std::uint8_t, size> bytes_{};

    /// Takes the same time wherever two digests differ.
    friend bool operator==(const key_digest& left, const key_digest& right);
};

/// The digest of a key.
key_digest digest_of_key(std::string_view key);

/// 32 lower-case hexadecimal digits.
std::string to_string(const key_digest& digest);

/// Parses the digits that `to_string()` writes. Empty, without a reason, when they are malformed.
std::optional<key_digest> parse_key_digest(std::string_view text);

/// The first 8 digits of a digest, which name a key in logs without giving it away.
std::string key_fingerprint(const key_digest& digest);

/// Hash for tables by digest. Digests are uniformly distributed, so it takes their first bytes.
struct key_digest_hash
{
    std::size_t operator()(const key_digest& digest) const;
};

} // namespace bamboohoist

#endif
