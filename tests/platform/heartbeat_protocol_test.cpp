#include "platform/heartbeat_protocol.hpp"

#include "platform/json_fields.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr const char* sample =
    R"({"born":1700000000123,"Address":"10.128.0.9:8080",
        "Info":{"Service":"huvo11a","Version":"v1","Zone":"lagos-ikeja","Slots":7},
        "Status":{"State":"ready","Sequence":4,"Cold_time":"0ms"}})";

std::optional<announcement> read_request(std::string_view method, std::string_view path,
                                         std::string_view body)
{
    request_message request;
    request.method_ = std::string(method);
    request.target_ = std::string(path);
    request.body_ = std::string(body);
    return platform::heartbeat_protocol().read(request);
}

std::optional<announcement> read_heartbeat(const nlohmann::json& body)
{
    return read_request("POST", "/v1/instances/i-7f3a91c2/heartbeat", body.dump());
}

} // namespace

TEST_CASE("a heartbeat contains the target, its start time and the sequence number")
{
    const auto received = read_heartbeat(nlohmann::json::parse(sample));
    REQUIRE(received);
    CHECK_FALSE(received->deregistered_);
    CHECK(received->target_.id_ == "huvo11a@10.128.0.9:8080");
    CHECK(received->target_.instance_ == "i-7f3a91c2");
    CHECK(received->target_.slots_ == 7);
    CHECK(received->target_.sequence_ == 4);
    CHECK(received->target_.started_ms_ == 1700000000123);
    CHECK_FALSE(received->target_.leaving_);
}

TEST_CASE("a draining target is leaving, and a deregistration ends the announcement")
{
    auto body = nlohmann::json::parse(sample);
    body["Status"]["State"] = "draining";
    CHECK(read_heartbeat(body)->target_.leaving_);
    const auto deregistration = read_request("POST", "/v1/instances/i-7f3a91c2/deregister", "");
    REQUIRE(deregistration);
    CHECK(deregistration->deregistered_);
    CHECK(deregistration->target_.instance_ == "i-7f3a91c2");
}

TEST_CASE("heartbeats with missing or malformed fields are refused")
{
    const auto valid = nlohmann::json::parse(sample);
    auto malformed = valid;
    malformed["Status"]["State"] = "dreaming";
    CHECK_FALSE(read_heartbeat(malformed));
    malformed = valid;
    malformed["Info"]["Slots"] = "seven";
    CHECK_FALSE(read_heartbeat(malformed));
    malformed = valid;
    malformed["Info"].erase("Service");
    CHECK_FALSE(read_heartbeat(malformed));
    malformed = valid;
    malformed["Address"] = "nowhere";
    CHECK_FALSE(read_heartbeat(malformed));
    malformed = valid;
    malformed["Status"] = 7;
    CHECK_FALSE(read_heartbeat(malformed));
    CHECK_FALSE(read_request("POST", "/v1/instances/i-1/heartbeat", "\xff\x00 not json"));
    CHECK(last_reason().kind_ == error_kind::bad_request);
    CHECK_FALSE(read_request("POST", "/v1/instances//heartbeat", sample));
    CHECK_FALSE(read_request("GET", "/v1/instances/i-1/heartbeat", sample));
    CHECK_FALSE(read_request("POST", "/v1/other", sample));
    CHECK(last_reason().kind_ == error_kind::not_found);
}

TEST_CASE("a duration is a number with a unit")
{
    CHECK(platform::parse_duration("1500ms") == std::chrono::milliseconds(1500));
    CHECK(platform::parse_duration("2.5s") == std::chrono::milliseconds(2500));
    for (const char* text : {"", "ms", "15", "15m", "-1s", "1 s", "nans", "1e99s"})
    {
        CHECK_FALSE(platform::parse_duration(text));
    }
}

// Without its start time, it would end or replace the incarnation that runs now.
TEST_CASE("a message whose start time cannot be read names no target")
{
    auto heartbeat = nlohmann::json::parse(sample);
    for (const std::string_view born : {"\"1700000000123\"", "1700000000123.5", "null", "true"})
    {
        CAPTURE(born);
        heartbeat["born"] = nlohmann::json::parse(born);
        CHECK_FALSE(read_heartbeat(heartbeat));
        const std::string body = "{\"born\":" + std::string(born) + "}";
        CHECK_FALSE(read_request("POST", "/v1/instances/i-1/deregister", body));
    }
    for (const std::string_view body : {"{\"born\":17000", "[1700000000123]", "\xff\x00", "born"})
    {
        CAPTURE(body);
        CHECK_FALSE(read_request("POST", "/v1/instances/i-1/deregister", body));
        CHECK(last_reason().kind_ == error_kind::bad_request);
    }
    const auto whole =
        read_request("POST", "/v1/instances/i-1/deregister", "{\"born\":1700000000123}");
    REQUIRE(whole);
    CHECK(whole->target_.started_ms_ == 1700000000123);
}
