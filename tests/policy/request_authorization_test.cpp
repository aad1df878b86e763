#include "policy/request_authorization.hpp"

#include "core/error.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr std::uint64_t revision = 7;

/// A deployment that requires keys: two organisations, an exempt route, one for a single
/// organisation and an unusable one.
ref_ptr<manifest> sample()
{
    ref_ptr<manifest> content(new manifest);
    content->keys_required_ = true;
    content->services_.emplace_back().name_ = "orders";
    organisation_spec& north = content->organisations_.emplace_back();
    north.name_ = "north";
    north.share_ = 3.0;
    north.keys_ = {digest_of_key("key-north")};
    organisation_spec& south = content->organisations_.emplace_back();
    south.name_ = "south";
    south.keys_ = {digest_of_key("key-south")};
    content->routes_ = {{"shop", "/orders", "orders", {}},
                        {"shop", "/open", "orders", {}},
                        {"shop", "/north", "orders", {"north"}},
                        {"shop", "/unknown", "orders", {}}};
    content->routes_[1].key_exempt_ = true;
    content->routes_[3].unusable_ = "its kind is not understood";
    return content;
}

/// Authorizes requests under one revision.
struct decision
{
    explicit decision(ref_ptr<manifest> content) : active_(revision, std::move(content)) {}

    std::optional<authorized_request> operator()(std::string_view path, std::string_view key,
                                                 std::string_view named = "",
                                                 std::uint64_t known_revision = revision) const
    {
        return authorize_request(active_, known_revision, {"shop", path, named, key});
    }

    /// The kind of error with which a request is refused; `none` when it is not.
    error_kind error_of(std::string_view path, std::string_view key,
                        std::uint64_t known_revision = revision) const
    {
        return (*this)(path, key, "", known_revision) ? error_kind::none : last_reason().kind_;
    }

    active_revision active_;
};

} // namespace

// Guards against a request that runs for an organisation other than the key's.
TEST_CASE("the organisation of a request is that of its key, whichever the caller names")
{
    const decision decide(sample());
    for (const char* named : {"", "north", "south", "elsewhere"})
    {
        CAPTURE(named);
        const auto authorized = decide("/orders/1", "key-north", named);
        REQUIRE(authorized);
        CHECK(authorized->organisation_.name_ == "north");
        CHECK(authorized->organisation_.index_ == 0);
        CHECK(authorized->organisation_.spec_ == &decide.active_.manifest_->organisations_[0]);
        CHECK(authorized->organisation_.share() == 3.0);
        CHECK_FALSE(authorized->key_exempt_);
    }
}

TEST_CASE("an unknown or missing key is refused, also under the name of an organisation")
{
    const decision decide(sample());
    CHECK(decide.error_of("/orders/1", "") == error_kind::unknown_key);
    CHECK(decide.error_of("/orders/1", "key-nort") == error_kind::unknown_key);
    CHECK(decide.error_of("/orders/1", "KEY-NORTH") == error_kind::unknown_key);
    CHECK_FALSE(decide("/orders/1", "", "north"));
    CHECK_FALSE(decide("/orders/1", "north", "north"));
}

// Guards against keys in logs and responses.
TEST_CASE("the reason of a refusal has the fingerprint of the key and not the key")
{
    const decision decide(sample());
    CHECK_FALSE(decide("/orders/1", "key-east"));
    CHECK(last_reason().text_.find(key_fingerprint(digest_of_key("key-east"))) !=
          std::string::npos);
    CHECK(last_reason().text_.find("key-east") == std::string::npos);
    CHECK_FALSE(decide("/orders/1", ""));
    CHECK(last_reason().text_.find("fingerprint none") != std::string::npos);
}

// Guards against a final refusal of a key that a newer revision has added.
TEST_CASE("a node that knows a newer revision than the one it uses refuses keys for now only")
{
    const decision decide(sample());
    CHECK(decide.error_of("/orders/1", "key-east", revision + 1) == error_kind::not_ready);
    CHECK(decide.error_of("/orders/1", "", revision + 1) == error_kind::not_ready);
    CHECK(decide.error_of("/north/1", "", revision + 1) == error_kind::not_ready);
    CHECK(decide.error_of("/orders/1", "key-north", revision + 1) == error_kind::none);
    CHECK(decide.error_of("/orders/1", "key-east", revision - 1) == error_kind::unknown_key);
}

TEST_CASE("whether there is a route is decided before the key, and so is whether it is usable")
{
    const decision decide(sample());
    for (const char* key : {"", "key-east", "key-north"})
    {
        CAPTURE(key);
        CHECK(decide.error_of("/nowhere", key) == error_kind::no_route);
        CHECK(decide.error_of("/unknown/1", key) == error_kind::unusable_route);
    }
}

TEST_CASE("on an exempt route a request runs without a key, and only a known key names it")
{
    const decision decide(sample());
    const auto with_key = decide("/open/1", "key-south", "north");
    REQUIRE(with_key);
    CHECK(with_key->organisation_.name_ == "south");
    CHECK(with_key->key_exempt_);
    for (const char* key : {"", "key-east"})
    {
        CAPTURE(key);
        const auto without = decide("/open/1", key, "north");
        REQUIRE(without);
        CHECK(without->organisation_.name_.empty());
        CHECK(without->organisation_.spec_ == nullptr);
        CHECK(without->organisation_.share() == 1.0);
    }
}

TEST_CASE("a route for one organisation needs its key")
{
    const decision decide(sample());
    CHECK(decide.error_of("/north/1", "key-north") == error_kind::none);
    CHECK(decide.error_of("/north/1", "key-south") == error_kind::unknown_organisation);
    CHECK(decide.error_of("/north/1", "") == error_kind::unknown_key);
    CHECK(decide.error_of("/north/1", "key-east") == error_kind::unknown_key);
}

// Guards against a change for deployments without keys.
TEST_CASE("where no keys are required the caller names the organisation and its key is not read")
{
    const auto content = sample();
    content->keys_required_ = false;
    const decision decide(content);
    const auto declared = decide("/orders/1", "key-south", "north");
    REQUIRE(declared);
    CHECK(declared->organisation_.name_ == "north");
    CHECK(declared->organisation_.share() == 3.0);
    const auto undeclared = decide("/orders/1", "", "elsewhere");
    REQUIRE(undeclared);
    CHECK(undeclared->organisation_.name_ == "elsewhere");
    CHECK(undeclared->organisation_.spec_ == nullptr);
    CHECK_FALSE(decide("/open/1", "")->key_exempt_);
    CHECK(decide("/orders/1", "")->organisation_.name_.empty());
    CHECK(decide.error_of("/north/1", "key-north") == error_kind::unknown_organisation);
}

TEST_CASE("fields with a key or an organisation are withheld from targets where keys are required")
{
    const auto content = sample();
    content->organisation_header_ = "X-Tenant";
    for (const char* name :
         {"Authorization", "authorization", "Proxy-Authorization", "PROXY-AUTHORIZATION",
          "Proxy_Authorization", "X-Tenant", "x-tenant", "X_Tenant"})
    {
        CAPTURE(name);
        CHECK(is_withheld_header(*content, name));
    }
    CHECK_FALSE(is_withheld_header(*content, "X-Tenants"));
    CHECK_FALSE(is_withheld_header(*content, "Accept"));
    content->keys_required_ = false;
    CHECK_FALSE(is_withheld_header(*content, "Authorization"));
    CHECK_FALSE(is_withheld_header(*content, "X-Tenant"));
}
