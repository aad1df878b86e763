#include "platform/operator_document.hpp"

#include "config/manifest_json.hpp"
#include "core/error.hpp"

#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboohoist;

namespace {

const std::array regions{region_spec{"luzon", {"luzon-pasig"}}};

nlohmann::json sample()
{
    return nlohmann::json::parse(R"({"Version": 7,
      "Routes": {
        "r-1": {"Hostname": "jepu9.example", "Prefix": "/a/", "Kind": "idempotent",
                "Service": "s", "AuthExempt": false},
        "r-2": {"Hostname": "jepu9.example", "Prefix": "/b/", "Kind": "idempotent",
                "Service": "s", "AuthExempt": true}},
      "Services": {"s": {"HealthPath": "/health", "MaxConnections": 360}},
      "Tenants": {
        "bozi300": {"ApiKeys": ["key-1", "key-2"], "Priority": 1, "PerS": 119, "Burst": 60},
        "yezi181": {"ApiKeys": ["key-3"], "Priority": 0, "PerS": 0}}})");
}

ref_ptr<const manifest> parse_translated(const nlohmann::json& document, std::size_t remarks)
{
    const auto translated = platform::translate_document(document.dump(), regions);
    REQUIRE(translated);
    CHECK(translated->remark_count_ == remarks);
    const auto parsed = parse_manifest(translated->manifest_);
    REQUIRE_MESSAGE(parsed, last_reason().text_);
    return *parsed;
}

} // namespace

TEST_CASE("tenants become organisations with keys, priority and quota")
{
    const auto content = parse_translated(sample(), 0);
    CHECK(content->keys_required_);
    CHECK(content->organisation_header_ == "X-Bamboohoist-Tenant");
    REQUIRE(content->organisations_.size() == 2);
    const organisation_spec& first = content->organisations_[0];
    CHECK(first.name_ == "bozi300");
    CHECK(first.keys_.size() == 2);
    CHECK(first.priority_ == 1);
    CHECK(first.rate_per_s_ == 119.0);
    CHECK(first.burst_ == 60.0);
    const organisation_spec& second = content->organisations_[1];
    CHECK(second.keys_ == std::vector{digest_of_key("key-3")});
    CHECK(second.priority_ == 0);
    CHECK(second.rate_per_s_ == 0.0);
    CHECK_FALSE(content->routes_[0].key_exempt_);
    CHECK(content->routes_[1].key_exempt_);
}

TEST_CASE("no key of a tenant stands in the translated configuration")
{
    const auto translated = platform::translate_document(sample().dump(), regions);
    REQUIRE(translated);
    CHECK(translated->manifest_.find("key-") == std::string::npos);
}

TEST_CASE("a document without a table of tenants requires no keys")
{
    auto document = sample();
    document.erase("Tenants");
    const auto content = parse_translated(document, 0);
    CHECK_FALSE(content->keys_required_);
    CHECK(content->organisations_.empty());
    CHECK(content->organisation_header_ == manifest().organisation_header_);
}

TEST_CASE("a document with an empty table of tenants admits no key")
{
    auto document = sample();
    document["Tenants"] = nlohmann::json::object();
    const auto content = parse_translated(document, 0);
    CHECK(content->keys_required_);
    CHECK(content->organisations_.empty());
}

TEST_CASE("a key that two tenants hold identifies neither of them")
{
    auto document = sample();
    document["Tenants"]["yezi181"]["ApiKeys"] = {"key-2", "key-3"};
    const auto content = parse_translated(document, 2);
    CHECK(content->organisations_[0].keys_ == std::vector{digest_of_key("key-1")});
    CHECK(content->organisations_[1].keys_ == std::vector{digest_of_key("key-3")});
}

TEST_CASE("fields of a tenant that are not understood are remarks and keep the rest in force")
{
    auto document = sample();
    document["Tenants"]["bozi300"] = {
        {"ApiKeys", "key-1"}, {"Priority", "high"}, {"PerS", -1}, {"Burst", "some"}};
    document["Tenants"]["odd"] = 3;
    document["Routes"]["r-2"]["AuthExempt"] = "yes";
    const auto content = parse_translated(document, 5);
    REQUIRE(content->organisations_.size() == 3);
    CHECK(content->organisations_[0].keys_.empty());
    CHECK_FALSE(content->organisations_[0].priority_);
    CHECK_FALSE(content->routes_[1].key_exempt_);
    CHECK(content->organisations_[2].keys_.size() == 1);
}
