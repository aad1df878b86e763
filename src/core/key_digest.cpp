#include "core/key_digest.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace bamboohoist {

namespace {

constexpr std::string_view digits = "0123456789abcdef";
constexpr std::size_t fingerprint_digits = 8;

} // namespace

bool operator==(const key_digest& left, const key_digest& right)
{
    return ::CRYPTO_memcmp(left.bytes_.data(), right.bytes_.data(), key_digest::size) == 0;
}

key_digest digest_of_key(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    ::SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), hash.data());
    key_digest digest;
    std::copy_n(hash.begin(), key_digest::size, digest.bytes_.begin());
    return digest;
}

std::string to_string(const key_digest& digest)
{
    std::string text;
    for (const std::uint8_t byte : digest.bytes_)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

std::optional<key_digest> parse_key_digest(std::string_view text)
{
    if (text.size() != 2 * key_digest::size ||
        text.find_first_not_of(digits) != std::string_view::npos)
    {
        return std::nullopt;
    }
    key_digest digest;
    for (std::size_t i = 0; i < key_digest::size; ++i)
    {
        const char* pair = text.data() + 2 * i;
        std::from_chars(pair, pair + 2, digest.bytes_[i], 16);
    }
    return digest;
}

std::string key_fingerprint(const key_digest& digest)
{
    return to_string(digest).substr(0, fingerprint_digits);
}

std::size_t key_digest_hash::operator()(const key_digest& digest) const
{
    std::size_t value = 0;
    std::memcpy(&value, digest.bytes_.data(), sizeof value);
    return value;
}

} // namespace bamboohoist
