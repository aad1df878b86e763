#include "protocol/api_key.hpp"

#include "platform/request_protocols.hpp"
#include "protocol/default_caller_protocol.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

const default_caller_protocol own_callers;
const platform::platform_caller_protocol platform_callers;

std::string_view key_of(const caller_protocol& callers, const header_list& headers)
{
    const auto metadata = callers.read(headers);
    REQUIRE(metadata);
    return metadata->api_key_;
}

} // namespace

TEST_CASE("each caller protocol reads keys of its own scheme, in any letter case")
{
    const header_list token{{"authorization", "Token k-1"}};
    const header_list bearer{{"AUTHORIZATION", "bEARER k-1"}};
    CHECK(key_of(platform_callers, token) == "k-1");
    const header_list padded{{"Authorization", " tOKEN   k-1 \t"}};
    CHECK(key_of(platform_callers, padded) == "k-1");
    CHECK(key_of(platform_callers, bearer).empty());
    CHECK(key_of(own_callers, bearer) == "k-1");
    CHECK(key_of(own_callers, token).empty());
    CHECK(key_of(own_callers, header_list{}).empty());
}

TEST_CASE("a malformed field carries no key")
{
    for (const char* value : {"", " ", "Token", "Token ", "Token\tk-1", "Tokenk-1", "k-1",
                              "Tokens k-1", "Basic k-1", "\"Token k-1\""})
    {
        CAPTURE(value);
        const header_list headers{{"Authorization", value}};
        CHECK(read_api_key(headers, "Token").empty());
    }
    const header_list other{{"Proxy-Authorization", "Token k-1"}, {"X-Authorization", "Token k-1"}};
    CHECK(read_api_key(other, "Token").empty());
}

// Guards against hops that take different ones of several fields for the credential.
TEST_CASE("a request with a second Authorization field has no key, whatever the fields contain")
{
    for (const char* second : {"Token k-1", "Token k-2", "Basic x", ""})
    {
        CAPTURE(second);
        const header_list headers{{"Authorization", "Token k-1"}, {"authorization", second}};
        CHECK(read_api_key(headers, "Token").empty());
        const header_list reversed{headers[1], headers[0]};
        CHECK(read_api_key(reversed, "Token").empty());
    }
}

TEST_CASE("the response to an unknown key has status 401, is not run and names the scheme")
{
    const generated_response refused{error_kind::unknown_key, outcome::not_run, "", "r-1", {}};
    const response_message own = own_callers.write(refused);
    CHECK(own.status_ == 401);
    CHECK(find_header(own.headers_, "WWW-Authenticate") == "Bearer");
    CHECK(find_header(own.headers_, "Bamboohoist-Outcome") == "not-run");
    CHECK(find_header(own.headers_, "Bamboohoist-Error") == "unknown-key");
    const response_message on_platform = platform_callers.write(refused);
    CHECK(on_platform.status_ == 401);
    CHECK(find_header(on_platform.headers_, "WWW-Authenticate") == "Token");
    const generated_response other{error_kind::no_route, outcome::not_run, "", "r-1", {}};
    CHECK_FALSE(find_header(own_callers.write(other).headers_, "WWW-Authenticate"));
}
