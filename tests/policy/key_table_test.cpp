#include "policy/key_table.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

organisation_spec make_organisation(const char* name, std::vector<key_digest> keys)
{
    organisation_spec made;
    made.name_ = name;
    made.keys_ = std::move(keys);
    return made;
}

/// Two digests that differ in their last byte only, so that their hashes are equal.
key_digest digest_ending_with(std::uint8_t last)
{
    key_digest digest = digest_of_key("key-1");
    digest.bytes_.back() = last;
    return digest;
}

} // namespace

TEST_CASE("each key of an organisation identifies it, and another key identifies none")
{
    const std::array organisations{
        make_organisation("north", {digest_of_key("key-1"), digest_of_key("key-2")}),
        make_organisation("keyless", {}), make_organisation("south", {digest_of_key("key-3")})};
    const key_table table(organisations);
    CHECK(table.find(digest_of_key("key-1")) == 0);
    CHECK(table.find(digest_of_key("key-2")) == 0);
    CHECK(table.find(digest_of_key("key-3")) == 2);
    CHECK_FALSE(table.find(digest_of_key("key-4")));
    CHECK_FALSE(table.find(key_digest{}));
    CHECK_FALSE(key_table({}).find(digest_of_key("key-1")));
}

// Guards against a look-up that takes equal hashes for equal digests.
TEST_CASE("digests with the same hash identify different organisations")
{
    const std::array organisations{make_organisation("north", {digest_ending_with(1)}),
                                   make_organisation("south", {digest_ending_with(2)})};
    const key_table table(organisations);
    CHECK(table.find(digest_ending_with(1)) == 0);
    CHECK(table.find(digest_ending_with(2)) == 1);
    CHECK_FALSE(table.find(digest_ending_with(3)));
}

// Guards against a request that runs for one of two organisations at random.
TEST_CASE("a key that two organisations declare identifies neither, and their other keys still do")
{
    const std::array organisations{
        make_organisation("north", {digest_of_key("shared"), digest_of_key("key-1")}),
        make_organisation("south", {digest_of_key("shared"), digest_of_key("key-2")})};
    const key_table table(organisations);
    CHECK_FALSE(table.find(digest_of_key("shared")));
    CHECK(table.find(digest_of_key("key-1")) == 0);
    CHECK(table.find(digest_of_key("key-2")) == 1);
}
