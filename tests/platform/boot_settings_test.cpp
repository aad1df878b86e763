#include "platform/boot_settings.hpp"

#include "core/error.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboohoist;

namespace {

nlohmann::json sample()
{
    return nlohmann::json::parse(R"({
      "NodeId": "sidecar-lagos-ikeja-1", "Role": "node", "Ip": "10.1.0.41",
      "Zone": "lagos-ikeja", "Region": "lagos",
      "Zones": {"lagos-ikeja": "lagos", "kano-fagge": "kano", "lagos-lekki": "lagos"},
      "Listen": {"Inbound": "10.1.0.41:8624", "Outbound": "10.1.0.41:8629",
                 "Ready": "10.1.0.41:8625", "Control": "10.1.0.41:8620"},
      "PortRange": [7600, 7615],
      "Bounds": ["Drain=2500ms", "Grace=6s", "BudgetSlack=60"],
      "Service": "wuno96b",
      "Platform": {"Address": "10.200.1.7:8627", "form": "kv"},
      "Something": {"new": true}
    })");
}

} // namespace

TEST_CASE("the platform's settings file contains all addresses of a node")
{
    const auto node_settings = platform::read_boot_settings(sample().dump());
    REQUIRE(node_settings);
    CHECK(node_settings->node_ == "sidecar-lagos-ikeja-1");
    CHECK(node_settings->domain_ == "lagos-ikeja");
    CHECK(node_settings->region_ == "lagos");
    CHECK(node_settings->service_ == "wuno96b");
    CHECK(to_string(node_settings->callers_) == "10.1.0.41:8629");
    CHECK(to_string(node_settings->peers_) == "10.1.0.41:8624");
    CHECK(to_string(node_settings->announce_) == "10.1.0.41:8620");
    CHECK(to_string(*node_settings->ready_) == "10.1.0.41:8625");
    CHECK(to_string(node_settings->gossip_) == "10.1.0.41:7600");
    CHECK(to_string(node_settings->operators_) == "10.1.0.41:7615");
    CHECK(to_string(node_settings->store_) == "10.200.1.7:8627");
    REQUIRE(node_settings->regions_.size() == 2);
    CHECK(node_settings->regions_[1].name_ == "lagos");
    CHECK(node_settings->regions_[1].domains_.size() == 2);
}

TEST_CASE("the time limit for leaving is shorter than the platform's grace period")
{
    const auto node_settings = platform::read_boot_settings(sample().dump());
    REQUIRE(node_settings);
    CHECK(node_settings->leave_limit_ms_ < 6000);
    CHECK(node_settings->leave_open_ms_ < node_settings->leave_limit_ms_);
}

TEST_CASE("the fleet's retry burst stays below the platform's bound")
{
    const auto node_settings = platform::read_boot_settings(sample().dump());
    REQUIRE(node_settings);
    CHECK(node_settings->retry_burst_ > 0.0);
    CHECK(node_settings->retry_burst_ < 60.0);
}

TEST_CASE("settings with a missing address or name are refused, optional fields may be missing")
{
    for (const char* field : {"NodeId", "Zone", "Listen", "Platform", "PortRange", "Ip"})
    {
        auto broken = sample();
        broken.erase(field);
        CHECK_FALSE(platform::read_boot_settings(broken.dump()));
        CHECK(last_reason().kind_ == error_kind::bad_settings);
        CHECK_FALSE(last_reason().text_.empty());
    }
    for (const char* field : {"Bounds", "Zones", "Service"})
    {
        auto reduced = sample();
        reduced.erase(field);
        CHECK(platform::read_boot_settings(reduced.dump()));
    }
    CHECK_FALSE(platform::read_boot_settings("{\"NodeId\": \"a\""));
    CHECK_FALSE(platform::read_boot_settings("[]"));
}

TEST_CASE("bounds of quotas and limits of the process are read where they are given")
{
    auto given = sample();
    given["Bounds"] = {"QuotaWindow=4s", "QuotaOverage=0.2", "QuotaSlack=12"};
    given["Limits"] = {{"MemoryMb", 160}, {"MaxFds", 4100}};
    const auto node_settings = platform::read_boot_settings(given.dump());
    REQUIRE(node_settings);
    CHECK(node_settings->quota_window_ms_ == 4000);
    CHECK(node_settings->quota_overage_ == 0.2);
    CHECK(node_settings->quota_slack_ == 12.0);
    CHECK(node_settings->memory_mb_ == 160);
    CHECK(node_settings->max_descriptors_ == 4100);
    const auto defaults = platform::read_boot_settings(sample().dump());
    REQUIRE(defaults);
    CHECK(defaults->quota_slack_ == settings().quota_slack_);
    CHECK(defaults->memory_mb_ == 0);
    CHECK(defaults->max_descriptors_ == 0);
}
