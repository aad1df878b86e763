#include "platform/request_protocols.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

const platform::platform_caller_protocol callers;
const platform::platform_target_protocol targets;

response_message answered(int status, header_list headers)
{
    response_message answer;
    answer.status_ = status;
    answer.headers_ = std::move(headers);
    return answer;
}

constexpr target_request_metadata call{"r-1", "i-1", "orders", std::chrono::milliseconds(1200)};
const header own_id{"X-Bamboohoist-Attempt-Id", "r-1"};
const header signature{"X-Bamboohoist-Response-Signature", "3e1b.07"};

} // namespace

TEST_CASE("the identifier and the time left come from the caller")
{
    const header_list fields{{"X-Bamboohoist-Attempt-Id", "9c41d07be2a35f68"},
                             {"X-Bamboohoist-Deadline-Remaining", "4000"}};
    const auto terms = callers.read(fields);
    REQUIRE(terms);
    CHECK(terms->id_ == "9c41d07be2a35f68");
    CHECK(terms->time_left_ == std::chrono::seconds(4));
    CHECK(terms->key_.empty());
    CHECK_FALSE(callers.read(header_list{})->time_left_);
    CHECK_FALSE(callers.read(header_list{{"X-Bamboohoist-Deadline-Remaining", "soon"}}));
    CHECK_FALSE(callers.read(header_list{{"X-Bamboohoist-Deadline-Remaining", "-4"}}));
}

TEST_CASE("a status that promises \"not run\" is sent only when that is true")
{
    constexpr std::array promises{408, 421, 429, 503};
    for (const error_response& row : error_table())
    {
        for (const outcome result : {outcome::ran, outcome::unknown, outcome::not_run})
        {
            const int status = callers.write({row.kind_, result, "", "r-1", {}}).status_;
            const bool promised = std::ranges::find(promises, status) != promises.end();
            if (result != outcome::not_run)
            {
                CHECK_FALSE(promised);
            }
            else if (status >= 500)
            {
                CHECK(promised);
            }
        }
    }
}

TEST_CASE("a refusal says when to return, in seconds with fractions")
{
    const response_message answer = callers.write(
        {error_kind::overloaded, outcome::not_run, "", "r-1", std::chrono::milliseconds(250)});
    CHECK(answer.status_ == 503);
    CHECK(find_header(answer.headers_, "Retry-After") == "0.25");
}

TEST_CASE("a target gets what is left, its own name and the caller's service, whatever was sent")
{
    request_message message;
    message.headers_ = {{"x-bamboohoist-caller-service", "forged"},
                        {"x-bamboohoist-attempt-id", "r-1"},
                        {"X-Other", "stays"}};
    targets.add_request_headers(message, call);
    CHECK(find_header(message.headers_, "X-Bamboohoist-Caller-Service") == "orders");
    CHECK(find_header(message.headers_, "X-Bamboohoist-Target-Instance") == "i-1");
    CHECK(find_header(message.headers_, "X-Bamboohoist-Deadline-Remaining") == "1200");
    CHECK(find_header(message.headers_, "X-Other") == "stays");
    CHECK(message.headers_.size() == 5);
}

TEST_CASE("an answer counts only with the request's identifier and a success with its signature")
{
    CHECK(targets.read(answered(200, {own_id, signature}), call) == response_kind::valid);
    CHECK(targets.read(answered(500, {own_id}), call) == response_kind::valid);
    CHECK(targets.read(answered(200, {own_id}), call) == response_kind::mismatched);
    const header other{"X-Bamboohoist-Attempt-Id", "r-0"};
    CHECK(targets.read(answered(200, {other, signature}), call) == response_kind::mismatched);
    const header encoding{"Content-Encoding", "gzip"};
    CHECK(targets.read(answered(200, {own_id, signature, encoding}), call) ==
          response_kind::mismatched);
}

TEST_CASE("only the target's own word means that a request was not run")
{
    const header unrun{"X-Bamboohoist-Not-Executed", "1"};
    CHECK(targets.read(answered(503, {unrun}), call) == response_kind::not_executed);
    CHECK(targets.read(answered(421, {}), call) == response_kind::wrong_target);
    CHECK(targets.read(answered(503, {own_id}), call) == response_kind::valid);
}
