#include "policy/route_table.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

ref_ptr<manifest> sample()
{
    ref_ptr<manifest> content(new manifest);
    for (const char* name : {"ledger", "orders", "fallback"})
    {
        content->services_.emplace_back().name_ = name;
    }
    content->organisations_ = {{"north", 1.0}, {"south", 1.0}};
    content->routes_ = {
        {"coop", "/ledger", "ledger", {}},
        {"coop", "/ledger/orders", "orders", {"north"}},
        {"coop", "/closed", "orders", {"south"}},
        {"*", "/", "fallback", {}},
    };
    return content;
}

std::optional<std::uint32_t> service_of(const route_table& table, std::string_view host,
                                        std::string_view path, std::string_view organisation)
{
    const auto found = table.match(host, path, organisation);
    return found ? std::optional(found->service_) : std::nullopt;
}

} // namespace

TEST_CASE("routes match by complete path segments and the longest prefix")
{
    const auto content = sample();
    const route_table table(*content);
    CHECK(service_of(table, "coop", "/ledger", "") == 0);
    CHECK(service_of(table, "coop", "/ledger/7/", "") == 0);
    CHECK(service_of(table, "coop", "/ledgers", "") == 2);
    CHECK(service_of(table, "other", "/anything/else", "") == 2);
}

TEST_CASE("a shorter prefix is used when the longer one does not admit the organisation")
{
    const auto content = sample();
    const route_table table(*content);
    CHECK(service_of(table, "coop", "/ledger/orders/1", "north") == 1);
    CHECK(service_of(table, "coop", "/ledger/orders/1", "south") == 0);
    CHECK(service_of(table, "coop", "/closed", "north") == 2);
}

TEST_CASE("the error for a request without a route says whether the organisation is the reason")
{
    auto content = sample();
    content->routes_.pop_back();
    const route_table table(*content);
    CHECK_FALSE(table.match("coop", "/nothing", "north"));
    CHECK(last_reason().kind_ == error_kind::no_route);
    CHECK_FALSE(table.match("coop", "/closed", "north"));
    CHECK(last_reason().kind_ == error_kind::unknown_organisation);
}

TEST_CASE("a literal prefix matches only paths that contain its final slash")
{
    ref_ptr<manifest> content(new manifest);
    content->services_.emplace_back().name_ = "ledger";
    route_spec& route = content->routes_.emplace_back(route_spec{"coop", "/a/b/", "ledger", {}});
    route.match_ = prefix_match::literal;
    const route_table table(*content);
    CHECK(service_of(table, "coop", "/a/b/", "") == 0);
    CHECK(service_of(table, "coop", "/a/b/c/d", "") == 0);
    CHECK_FALSE(service_of(table, "coop", "/a/b", ""));
    CHECK_FALSE(service_of(table, "coop", "/a/bc", ""));
    CHECK_FALSE(service_of(table, "coop", "/a/", ""));
}

TEST_CASE("the longest literal prefix matches, also in paths with empty segments")
{
    ref_ptr<manifest> content(new manifest);
    content->services_.emplace_back().name_ = "outer";
    content->services_.emplace_back().name_ = "inner";
    content->routes_ = {{"coop", "/a/", "outer", {}}, {"coop", "/a/b/", "inner", {}}};
    content->routes_[0].match_ = prefix_match::literal;
    content->routes_[1].match_ = prefix_match::literal;
    const route_table table(*content);
    CHECK(service_of(table, "coop", "/a/x", "") == 0);
    CHECK(service_of(table, "coop", "/a//b/x", "") == 0);
    CHECK(service_of(table, "coop", "/a/b//x", "") == 1);
    CHECK(service_of(table, "coop", "/a/b/x/", "") == 1);
}

TEST_CASE("a divided route chooses its parts by weight")
{
    ref_ptr<manifest> content(new manifest);
    content->services_.emplace_back().name_ = "old";
    content->services_.emplace_back().name_ = "new";
    route_spec& route = content->routes_.emplace_back(route_spec{"coop", "/a/", "", {}});
    route.parts_ = {{"old", 90}, {"new", 10}};
    const route_table table(*content);
    const auto found = table.match("coop", "/a/1", "");
    REQUIRE(found);
    CHECK(table.choose_service(*found, 0.0) == 0);
    CHECK(table.choose_service(*found, 0.899) == 0);
    CHECK(table.choose_service(*found, 0.901) == 1);
    CHECK(table.choose_service(*found, 0.999) == 1);
}
