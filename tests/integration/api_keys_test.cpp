#include "core/key_digest.hpp"
#include "fakes/silent_peer.hpp"
#include "harness/http_call.hpp"
#include "harness/platform_fixture.hpp"
#include "harness/platform_messages.hpp"
#include "harness/raw_caller.hpp"
#include "harness/wait_for.hpp"
#include "wire/endpoint.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

constexpr duration event_timeout = std::chrono::seconds(5);
/// A request that is sent later than this after a change follows it.
constexpr duration change_bound = std::chrono::seconds(3);
constexpr std::string_view organisation_field = "X-Bamboohoist-Tenant";
constexpr std::string_view north_key = "north-7c1e44d0b2";
constexpr std::string_view south_key = "south-91fa03cc58";
constexpr std::string_view unknown_key = "never-2d6b80a7e1";

json make_route(std::string_view prefix)
{
    return {{"Hostname", "shop.example"},
            {"Prefix", prefix},
            {"Kind", "non_idempotent"},
            {"Timeout", "2s"},
            {"TargetLatency", "500ms"},
            {"Service", "orders"},
            {"Attempts", 2U}};
}

/// An operator's document with a route that needs a key, one that does not, and two organisations.
json make_document(std::uint64_t version)
{
    json open = make_route("/open/");
    open["AuthExempt"] = true;
    return {{"Version", version},
            {"Routes", {{"r-pay", make_route("/pay/")}, {"r-open", std::move(open)}}},
            {"Services", {{"orders", {{"HealthPath", "/health"}, {"MaxConnections", 20U}}}}},
            {"Tenants",
             {{"north", {{"ApiKeys", json::array({north_key})}, {"Priority", 0U}}},
              {"south", {{"ApiKeys", json::array({south_key})}, {"Priority", 1U}}}}},
            {"Limits", json::object()}};
}

/// A node of the platform with a target, whose configuration is a document of this test.
class keyed_node
{
public:
    explicit keyed_node(const json& document)
        : fixture_([](const request_message& request) {
              return make_signed_response(request, "body of " + request.target_);
          })
    {
        put(document);
        fixture_.start_node();
        REQUIRE(fixture_.wait_ready(200));
        REQUIRE(fixture_.send_heartbeat("i-1", "ready", 1, 1'700'000'000'000) == 200);
        REQUIRE(wait_for([&] { return call("/open/ready")->status_ == 200; }, event_timeout));
    }

    /// No key may be read from the output of a node, whatever was sent to it.
    ~keyed_node()
    {
        const std::string output = fixture_.node().output();
        for (const std::string_view key : {north_key, south_key, unknown_key})
        {
            CHECK(output.find(key) == std::string::npos);
        }
    }

    keyed_node(const keyed_node&) = delete;
    keyed_node& operator=(const keyed_node&) = delete;

    void put(const json& document)
    {
        fixture_.run_with_store(
            [&](platform_store& store) { store.put("op/config", document.dump()); });
    }

    /// Sends a request with these header fields.
    std::optional<response_message> call(std::string_view path, const header_list& fields = {})
    {
        request_message request = make_request("POST", path);
        request.headers_.insert(request.headers_.end(), fields.begin(), fields.end());
        return http_call(fixture_.callers(), std::move(request));
    }

    /// The status of the response to a request with this key.
    int status_with(std::string_view path, std::string_view key)
    {
        const auto response = call(path, {{"Authorization", "Token " + std::string(key)}});
        return response ? response->status_ : 0;
    }

    /// The header fields of the latest request that the target received.
    header_list last_received()
    {
        return fixture_.received().back().headers_;
    }

    platform_fixture fixture_;
};

std::vector<std::string> values_of(const header_list& headers, std::string_view name)
{
    std::vector<std::string> values;
    for (const header& field : headers)
    {
        if (header_names_equal(field.name_, name))
        {
            values.push_back(field.value_);
        }
    }
    return values;
}

bool contains_key(const header_list& headers)
{
    return std::ranges::any_of(headers, [](const header& field) {
        return field.value_.find(north_key) != std::string::npos ||
               field.value_.find(south_key) != std::string::npos ||
               field.value_.find(unknown_key) != std::string::npos;
    });
}

} // namespace

// Guards against keys that reach targets, and against organisations that a caller makes up.
TEST_CASE("the target of a request with a known key receives its organisation's name and no key")
{
    keyed_node node(make_document(1));
    const header_list fields{{"authorization", "tOKEN " + std::string(north_key)},
                             {"Proxy-Authorization", "Token " + std::string(north_key)},
                             {"x-bamboohoist-tenant", "south"},
                             {"X-Bamboohoist-Tenant", "south"},
                             {"X-BAMBOOHOIST-TENANT", "elsewhere"},
                             {"X-Other", "stays"}};
    const auto response = node.call("/pay/1", fields);
    REQUIRE(response);
    CHECK(response->status_ == 200);
    CHECK(response->body_ == "body of /pay/1");
    const header_list received = node.last_received();
    CHECK(values_of(received, organisation_field) == std::vector<std::string>{"north"});
    CHECK(values_of(received, "Authorization").empty());
    CHECK(values_of(received, "Proxy-Authorization").empty());
    CHECK(values_of(received, "X-Other") == std::vector<std::string>{"stays"});
    CHECK_FALSE(contains_key(received));
}

TEST_CASE("a request without a known key gets 401 and does not run, and is logged without its key")
{
    keyed_node node(make_document(1));
    const std::string known = "Token " + std::string(north_key);
    const std::size_t received_before = node.fixture_.received().size();
    const std::vector<header_list> refused{
        {},
        {{"Authorization", "Token " + std::string(unknown_key)}},
        {{"Authorization", "Bearer " + std::string(north_key)}},
        {{"Authorization", std::string(north_key)}},
        {{"Authorization", known}, {"Authorization", known}},
        {{"Proxy-Authorization", known}, {"X-Bamboohoist-Tenant", "north"}}};
    for (const header_list& fields : refused)
    {
        const auto response = node.call("/pay/1", fields);
        REQUIRE(response);
        CHECK(response->status_ == 401);
        CHECK(find_header(response->headers_, "WWW-Authenticate") == "Token");
        CHECK(response->body_.find(north_key) == std::string::npos);
        CHECK(response->body_.find(unknown_key) == std::string::npos);
    }
    CHECK(node.call("/nowhere/1")->status_ == 404);
    CHECK(node.fixture_.received().size() == received_before);
    const std::string fingerprint = key_fingerprint(digest_of_key(unknown_key));
    CHECK(node.fixture_.node().wait_line("fingerprint " + fingerprint, event_timeout));
    CHECK(node.fixture_.node().wait_line("fingerprint none", event_timeout));
    CHECK(node.fixture_.metrics().find("bamboohoist_requests_unauthenticated_total 6\n") !=
          std::string::npos);
}

TEST_CASE("on an exempt route a request runs without a key, and only a known key names it")
{
    keyed_node node(make_document(1));
    const header named{"X-Bamboohoist-Tenant", "south"};
    for (const header_list& fields :
         {header_list{named},
          header_list{named, {"Authorization", "Token " + std::string(unknown_key)}},
          header_list{named, {"Authorization", "Bearer " + std::string(north_key)}}})
    {
        CHECK(node.call("/open/1", fields)->status_ == 200);
        const header_list received = node.last_received();
        CHECK(values_of(received, organisation_field).empty());
        CHECK(values_of(received, "Authorization").empty());
        CHECK_FALSE(contains_key(received));
    }
    CHECK(node.call("/open/1", {named, {"Authorization", "Token " + std::string(north_key)}})
              ->status_ == 200);
    const header_list received = node.last_received();
    CHECK(values_of(received, organisation_field) == std::vector<std::string>{"north"});
    CHECK_FALSE(contains_key(received));
}

TEST_CASE("a key that a revision takes away is refused in time, and one that it adds is accepted")
{
    keyed_node node(make_document(1));
    CHECK(node.status_with("/pay/1", north_key) == 200);
    CHECK(node.status_with("/pay/1", unknown_key) == 401);
    json changed = make_document(4);
    changed["Tenants"]["north"]["ApiKeys"] = json::array({unknown_key});
    node.put(changed);
    CHECK(wait_for([&] { return node.status_with("/pay/1", north_key) == 401; }, change_bound));
    const std::size_t received_before = node.fixture_.received().size();
    CHECK(node.status_with("/pay/1", north_key) == 401);
    CHECK(node.fixture_.received().size() == received_before);
    CHECK(node.status_with("/pay/1", unknown_key) == 200);
    CHECK(values_of(node.last_received(), organisation_field) == std::vector<std::string>{"north"});
    CHECK(node.status_with("/pay/1", south_key) == 200);
}

// Guards against a final refusal by a node that has missed the revision with the key.
TEST_CASE("a node that has heard of a newer revision refuses an unknown key with 503")
{
    keyed_node node(make_document(1));
    const silent_peer peer(*parse_endpoint(node.fixture_.gossip_address()));
    CHECK(wait_for([&] { return node.status_with("/pay/1", unknown_key) == 503; }, event_timeout));
    const std::size_t received_before = node.fixture_.received().size();
    const auto response = node.call("/pay/1");
    REQUIRE(response);
    CHECK(response->status_ == 503);
    CHECK(find_header(response->headers_, "Retry-After"));
    CHECK(node.fixture_.received().size() == received_before);
    CHECK(node.status_with("/pay/1", north_key) == 200);
}

// Guards against a change for deployments without keys.
TEST_CASE("where no keys are required, credentials and organisation reach the target as sent")
{
    json document = make_document(1);
    document.erase("Tenants");
    keyed_node node(document);
    CHECK(node.call("/pay/1", {{"Authorization", "Basic c2FjazpyaWNl"},
                               {"Proxy-Authorization", "Basic eA=="},
                               {"X-Bamboohoist-Tenant", "south"}})
              ->status_ == 200);
    const header_list received = node.last_received();
    CHECK(values_of(received, "Authorization") == std::vector<std::string>{"Basic c2FjazpyaWNl"});
    CHECK(values_of(received, "Proxy-Authorization") == std::vector<std::string>{"Basic eA=="});
    CHECK(values_of(received, organisation_field) == std::vector<std::string>{"south"});
}

// Such a field was not removed with the key in it; the stream to the guard ended, with 502.
TEST_CASE("a request with blanks around the name of a field is refused and does not run")
{
    keyed_node node(make_document(1));
    for (const char* name : {"Authorization ", "Authorization\t", " Authorization",
                             "\tAuthorization", "Proxy-Authorization ", "X-Bamboohoist-Tenant "})
    {
        CAPTURE(name);
        request_message request = make_request("POST", "/open/1");
        request.headers_.push_back({name, "Token " + std::string(north_key)});
        const std::size_t received_before = node.fixture_.received().size();
        raw_caller caller(node.fixture_.callers());
        const auto response = caller.call(request, event_timeout);
        REQUIRE(response);
        CHECK(response->status_ == 400);
        CHECK(node.fixture_.received().size() == received_before);
    }
}
