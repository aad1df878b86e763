#include "config/manifest_json.hpp"
#include "core/error.hpp"
#include "core/random_source.hpp"
#include "platform/operator_document.hpp"
#include "policy/route_table.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboohoist;

namespace {

using json = nlohmann::json;

constexpr std::uint64_t seed = 26;
constexpr int document_count = 4000;
constexpr std::size_t max_nesting = 20'000;

const std::array regions{region_spec{"lagos", {"lagos-ikeja"}}};

/// A document with a service, a route that stays as it is, and three routes to be damaged.
json make_document()
{
    const json route{{"Hostname", "shop.example"},
                     {"Prefix", "/damaged/"},
                     {"Kind", "idempotent"},
                     {"Timeout", "2s"},
                     {"TargetLatency", "500ms"},
                     {"Service", "orders"},
                     {"Attempts", 2U},
                     {"Priority", 1U}};
    json weighted = route;
    weighted.erase("Service");
    weighted["WeightedClusters"] = {{{"Service", "orders"}, {"Weight", 90U}},
                                    {{"Service", "stock"}, {"Weight", 10U}}};
    json kept = route;
    kept["Prefix"] = "/kept/";
    return {{"Version", 7U},
            {"Routes", {{"a", route}, {"b", weighted}, {"c", route}, {"kept", kept}}},
            {"Services",
             {{"orders", {{"MaxConnections", 20U}}}, {"stock", {{"MaxConnections", 20U}}}}}};
}

std::size_t pick(random_source& random, std::size_t count)
{
    return static_cast<std::size_t>(random.uniform() * static_cast<double>(count));
}

/// A value that a field does not usually have.
json strange_value(random_source& random)
{
    switch (pick(random, 9))
    {
    case 0:
        return nullptr;
    case 1:
        return -1;
    case 2:
        return 1e300;
    case 3:
        return std::string(100'000, 'x');
    case 4:
        return json::array({json::array(), json::object()});
    case 5:
        return json::object({{"Service", 7}});
    case 6:
        return 18'446'744'073'709'551'615U;
    case 7:
        return "";
    default:
        return "\u00e9\n\"\\";
    }
}

/// Damages one field of a route: removes it, changes its value or adds an unknown one.
void damage_route(json& route, random_source& random)
{
    auto field = route.begin();
    std::advance(field, static_cast<std::ptrdiff_t>(pick(random, route.size())));
    switch (pick(random, 4))
    {
    case 0:
        route.erase(field);
        break;
    case 1:
        route["Unknown" + std::to_string(pick(random, 100))] = strange_value(random);
        break;
    case 2:
        if (field->is_array() && !field->empty())
        {
            (*field)[0] = strange_value(random);
            break;
        }
        [[fallthrough]];
    default:
        *field = strange_value(random);
        break;
    }
}

ref_ptr<const manifest> translate_and_parse(std::string_view text)
{
    const auto document = platform::translate_document(text, regions);
    REQUIRE(document);
    const auto parsed = parse_manifest(document->manifest_);
    REQUIRE_MESSAGE(parsed, last_reason().text_);
    return *parsed;
}

} // namespace

TEST_CASE("damaged routes harm no other route, whatever is wrong with them")
{
    random_source random(seed);
    for (int i = 0; i < document_count; ++i)
    {
        json document = make_document();
        for (const char* name : {"a", "b", "c"})
        {
            json& route = document["Routes"][name];
            if (random.chance(0.05))
            {
                route = strange_value(random);
                continue;
            }
            damage_route(route, random);
            damage_route(route, random);
        }
        CAPTURE(i);
        const auto content = translate_and_parse(document.dump());
        const auto kept = std::ranges::find(content->routes_, "/kept/", &route_spec::prefix_);
        REQUIRE(kept != content->routes_.end());
        CHECK(kept->unusable_.empty());
        CHECK(kept->service_ == "orders");
        CHECK(kept->kind_ == request_kind::idempotent);
        CHECK(kept->timeout_ms_ == 2000);
        CHECK(route_table(*content).match("shop.example", "/kept/1", ""));
    }
}

TEST_CASE("a document that is cut short is refused at every length")
{
    const std::string text = make_document().dump();
    for (std::size_t length = 0; length < text.size(); ++length)
    {
        CHECK_FALSE(
            platform::translate_document(std::string_view(text).substr(0, length), regions));
    }
}

TEST_CASE("a document that is nested without end is read or refused")
{
    std::string nested = R"({"Version": 7, "Services": {"orders": {}}, "Routes": {"a": )";
    nested += std::string(max_nesting, '[') + std::string(max_nesting, ']') + "}}";
    const auto content = translate_and_parse(nested);
    CHECK(content->routes_.empty());
    CHECK_FALSE(platform::translate_document(std::string(max_nesting, '['), regions));
}

TEST_CASE("a document with random bytes in it is read or refused")
{
    random_source random(seed);
    const std::string text = make_document().dump();
    for (int i = 0; i < document_count; ++i)
    {
        std::string damaged = text;
        damaged[pick(random, damaged.size())] = static_cast<char>(pick(random, 256));
        damaged[pick(random, damaged.size())] = static_cast<char>(pick(random, 256));
        const auto document = platform::translate_document(damaged, regions);
        CAPTURE(i);
        if (document)
        {
            const auto parsed = parse_manifest(document->manifest_);
            CHECK_MESSAGE(parsed, last_reason().text_);
        }
    }
}
