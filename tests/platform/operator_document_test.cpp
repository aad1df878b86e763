#include "platform/operator_document.hpp"

#include "config/manifest_json.hpp"
#include "core/error.hpp"

#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboohoist;

namespace {

const std::array regions{region_spec{"lagos", {"lagos-ikeja"}}};

constexpr const char* sample = R"({"Version": 7,
  "Routes": {
    "r-1": {"Hostname": "jepu9.example", "Prefix": "/lepu270/", "Kind": "idempotent",
            "Timeout": "4000ms", "TargetLatency": "2.5s", "Priority": 2, "Attempts": 2,
            "WeightedClusters": [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}]},
    "r-2": {"Hostname": "hulo84.example", "Prefix": "/xapu221/ny95/", "Kind": "non_idempotent",
            "Timeout": "5000ms", "TargetLatency": "2500ms", "Priority": 1, "Service": "b",
            "Attempts": 3}},
  "Services": {"a": {"HealthPath": "/health", "MaxConnections": 360},
               "b": {"HealthPath": "/health", "MaxConnections": 20, "Protocol": "h1"}},
  "Limits": {"MaxHeaderBytes": 16384}})";

ref_ptr<const manifest> parse_translated(std::string_view text)
{
    const auto document = platform::translate_document(text, regions);
    REQUIRE(document);
    const auto parsed = parse_manifest(document->manifest_);
    REQUIRE_MESSAGE(parsed, last_reason().text_);
    return *parsed;
}

} // namespace

TEST_CASE("an operator's document is translated to a valid manifest")
{
    CHECK(platform::translate_document(sample, regions)->version_ == 7);
    const auto manifest_from_document = parse_translated(sample);
    REQUIRE(manifest_from_document->routes_.size() == 2);
    const route_spec& weighted = manifest_from_document->routes_[0];
    CHECK(weighted.host_ == "jepu9.example");
    CHECK(weighted.match_ == prefix_match::literal);
    CHECK(weighted.kind_ == request_kind::idempotent);
    CHECK(weighted.timeout_ms_ == 4000);
    CHECK(weighted.goal_ms_ == 2500);
    CHECK(weighted.max_targets_reached_ == 2);
    CHECK(weighted.priority_ == 2);
    CHECK(weighted.parts_ == std::vector<route_part>{{"a", 90}, {"b", 10}});
    CHECK(manifest_from_document->routes_[1].kind_ == request_kind::non_idempotent);
    CHECK(manifest_from_document->routes_[1].service_ == "b");
    REQUIRE(manifest_from_document->services_.size() == 2);
    CHECK(manifest_from_document->services_[1].max_connections_ == 20);
}

TEST_CASE("translating the same document twice gives the same text")
{
    const auto first = platform::translate_document(sample, regions);
    const auto second = platform::translate_document(sample, regions);
    CHECK(first->manifest_ == second->manifest_);
}

TEST_CASE("a document with a malformed part is refused completely")
{
    const std::string text = sample;
    const auto refused = [](const std::string& broken) {
        const auto document = platform::translate_document(broken, regions);
        return !document && last_reason().kind_ == error_kind::bad_manifest;
    };
    CHECK(refused(text.substr(0, text.size() / 2)));
    CHECK(refused("[]"));
    CHECK(refused(R"({"Version": "7", "Routes": {}, "Services": {}})"));
    auto unknown_kind = nlohmann::json::parse(sample);
    unknown_kind["Routes"]["r-2"]["Kind"] = "sometimes";
    CHECK(refused(unknown_kind.dump()));
    auto no_service = nlohmann::json::parse(sample);
    no_service["Routes"]["r-2"].erase("Service");
    CHECK(refused(no_service.dump()));
    auto no_weight = nlohmann::json::parse(sample);
    no_weight["Routes"]["r-1"]["WeightedClusters"][0].erase("Weight");
    CHECK(refused(no_weight.dump()));
}
