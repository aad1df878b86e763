#include "policy/request_rank.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

TEST_CASE("the priority of the organisation goes before that of the route")
{
    route_spec route;
    route.priority_ = 2;
    organisation_spec organisation;
    organisation.priority_ = 1;
    CHECK(rank_of(route, &organisation) == request_rank{1, 2});
    CHECK(request_rank{0, 9} < request_rank{1, 0});
    CHECK(request_rank{1, 0} < request_rank{1, 2});
}

TEST_CASE("requests without a declared priority of an organisation are not put behind others")
{
    // Calls that targets make while they run a request carry no organisation.
    route_spec route;
    route.priority_ = 2;
    const organisation_spec without_priority;
    CHECK(rank_of(route, nullptr) == request_rank{0, 2});
    CHECK(rank_of(route, &without_priority) == request_rank{0, 2});
}

TEST_CASE("a rank is read as it was written, and nothing else is")
{
    const request_rank highest_numbers{4294967295U, 7};
    CHECK(parse_request_rank(to_string(highest_numbers)) == highest_numbers);
    CHECK(parse_request_rank("0/2") == request_rank{0, 2});
    for (const char* const text :
         {"", "/", "1", "1/", "/1", "1/2/3", "-1/0", "4294967296/0", "a/b", " 1/2", "1/2 "})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_request_rank(text));
    }
}
