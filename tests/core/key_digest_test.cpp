#include "core/key_digest.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

TEST_CASE("the digest of a key is the beginning of its SHA-256 hash")
{
    // FIPS 180-2, appendix B.1.
    CHECK(to_string(digest_of_key("abc")) == "ba7816bf8f01cfea414140de5dae2223");
    CHECK(key_fingerprint(digest_of_key("abc")) == "ba7816bf");
}

TEST_CASE("a digest is read back from its digits, and nothing else is")
{
    const key_digest digest = digest_of_key("a key");
    CHECK(parse_key_digest(to_string(digest)) == digest);
    CHECK_FALSE(parse_key_digest(""));
    CHECK_FALSE(parse_key_digest("a key"));
    CHECK_FALSE(parse_key_digest(std::string(31, 'a')));
    CHECK_FALSE(parse_key_digest(std::string(31, 'a') + 'G'));
    CHECK_FALSE(parse_key_digest(to_string(digest) + "00"));
}

TEST_CASE("digests of different keys differ")
{
    CHECK_FALSE(digest_of_key("a key") == digest_of_key("a kez"));
    CHECK(key_digest_hash()(digest_of_key("a key")) != key_digest_hash()(digest_of_key("a kez")));
}
