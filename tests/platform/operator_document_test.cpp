#include "platform/operator_document.hpp"

#include "config/manifest_json.hpp"
#include "core/error.hpp"

#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <tuple>

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

TEST_CASE("a document that cannot be read, or names no version or services, is refused")
{
    const std::string text = sample;
    const auto refused = [](const std::string& broken) {
        const auto document = platform::translate_document(broken, regions);
        return !document && last_reason().kind_ == error_kind::bad_manifest;
    };
    CHECK(refused(text.substr(0, text.size() / 2)));
    CHECK(refused("[]"));
    CHECK(refused(R"({"Version": "7", "Routes": {}, "Services": {"a": {}}})"));
    CHECK(refused(R"({"Version": 7, "Routes": [], "Services": {"a": {}}})"));
    CHECK(refused(R"({"Version": 7, "Routes": {}, "Services": {}})"));
}

TEST_CASE("downloads may be repeated, requests of an unknown kind may not")
{
    for (const auto& [kind, expected, remarks] :
         {std::tuple{"download", request_kind::idempotent, 0U},
          std::tuple{"sometimes", request_kind::non_idempotent, 1U}})
    {
        auto document = nlohmann::json::parse(sample);
        document["Routes"]["r-1"]["Kind"] = kind;
        const auto translated = platform::translate_document(document.dump(), regions);
        REQUIRE(translated);
        CHECK(translated->remark_count_ == remarks);
        const auto content = parse_translated(document.dump());
        CHECK(content->routes_[0].kind_ == expected);
        CHECK(content->routes_[0].unusable_.empty());
        CHECK(content->notes_.size() == remarks);
    }
}

TEST_CASE("a route whose destination is not understood is unusable, and the others are served")
{
    const auto check_unusable = [](const nlohmann::json& document) {
        const auto content = parse_translated(document.dump());
        REQUIRE(content->routes_.size() == 2);
        CHECK_FALSE(content->routes_[0].unusable_.empty());
        CHECK(content->routes_[0].prefix_ == "/lepu270/");
        CHECK(content->routes_[1].unusable_.empty());
        CHECK(content->routes_[1].service_ == "b");
        CHECK(content->notes_.size() == 1);
    };
    auto no_weight = nlohmann::json::parse(sample);
    no_weight["Routes"]["r-1"]["WeightedClusters"][0].erase("Weight");
    check_unusable(no_weight);
    auto no_service = nlohmann::json::parse(sample);
    no_service["Routes"]["r-1"].erase("WeightedClusters");
    check_unusable(no_service);
    auto undeclared = nlohmann::json::parse(sample);
    undeclared["Routes"]["r-1"]["WeightedClusters"][0]["Service"] = "c";
    check_unusable(undeclared);
    auto only_zero = nlohmann::json::parse(sample);
    only_zero["Routes"]["r-1"]["WeightedClusters"] =
        nlohmann::json::array({{{"Service", "a"}, {"Weight", 0U}}});
    check_unusable(only_zero);
}

TEST_CASE("a limit of another type keeps its default, with a remark")
{
    auto document = nlohmann::json::parse(sample);
    document["Routes"]["r-2"]["Timeout"] = 5000;
    document["Routes"]["r-2"]["Attempts"] = 0;
    document["Services"]["b"]["MaxConnections"] = "many";
    CHECK(platform::translate_document(document.dump(), regions)->remark_count_ == 3);
    const auto content = parse_translated(document.dump());
    CHECK(content->routes_[1].timeout_ms_ == 0);
    CHECK(content->routes_[1].max_targets_reached_ == 4);
    CHECK(content->services_[1].max_connections_ == 350);
}

TEST_CASE("remarks are bounded in number and length")
{
    auto document = nlohmann::json::parse(sample);
    for (int i = 0; i < 1000; ++i)
    {
        document["Routes"][std::string(5000, 'x') + std::to_string(i)] = {{"Kind", "new"}};
    }
    const auto translated = platform::translate_document(document.dump(), regions);
    REQUIRE(translated);
    CHECK(translated->remark_count_ == 1000);
    CHECK(translated->remarks_.size() <= 17);
    CHECK(translated->manifest_.size() < 10'000);
    CHECK(parse_translated(document.dump())->routes_.size() == 2);
}
