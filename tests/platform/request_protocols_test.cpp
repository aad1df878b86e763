#include "platform/request_protocols.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

const platform::platform_caller_protocol callers;
const platform::platform_target_protocol targets;

response_message make_response(int status, header_list headers)
{
    response_message response;
    response.status_ = status;
    response.headers_ = std::move(headers);
    return response;
}

constexpr target_request_metadata target_metadata{"r-1", "i-1", "orders",
                                                  std::chrono::milliseconds(1200)};
const header matching_id{"X-Bamboohoist-Attempt-Id", "r-1"};
const header signature{"X-Bamboohoist-Response-Signature", "3e1b.07"};

} // namespace

TEST_CASE("the identifier and the remaining time are read from the caller's header fields")
{
    const header_list fields{{"X-Bamboohoist-Attempt-Id", "9c41d07be2a35f68"},
                             {"X-Bamboohoist-Deadline-Remaining", "4000"}};
    const auto metadata = callers.read(fields);
    REQUIRE(metadata);
    CHECK(metadata->id_ == "9c41d07be2a35f68");
    CHECK(metadata->time_left_ == std::chrono::seconds(4));
    CHECK(metadata->key_.empty());
    CHECK_FALSE(callers.read(header_list{})->time_left_);
    CHECK_FALSE(callers.read(header_list{{"X-Bamboohoist-Deadline-Remaining", "soon"}}));
    CHECK_FALSE(callers.read(header_list{{"X-Bamboohoist-Deadline-Remaining", "-4"}}));
}

TEST_CASE("a status that means \"not run\" is sent only when the request was not run")
{
    constexpr std::array not_run_statuses{408, 421, 429, 503};
    for (const error_response& row : error_table())
    {
        for (const outcome result : {outcome::ran, outcome::unknown, outcome::not_run})
        {
            const int status = callers.write({row.kind_, result, "", "r-1", {}}).status_;
            const bool means_not_run =
                std::ranges::find(not_run_statuses, status) != not_run_statuses.end();
            if (result != outcome::not_run)
            {
                CHECK_FALSE(means_not_run);
            }
            else if (status >= 500)
            {
                CHECK(means_not_run);
            }
        }
    }
}

TEST_CASE("Retry-After is written in seconds with fractions")
{
    const response_message response = callers.write(
        {error_kind::overloaded, outcome::not_run, "", "r-1", std::chrono::milliseconds(250)});
    CHECK(response.status_ == 503);
    CHECK(find_header(response.headers_, "Retry-After") == "0.25");
}

TEST_CASE("the metadata for a target replaces header fields of the same name from the caller")
{
    request_message message;
    message.headers_ = {{"x-bamboohoist-caller-service", "forged"},
                        {"x-bamboohoist-attempt-id", "r-1"},
                        {"X-Other", "stays"}};
    targets.add_request_headers(message, target_metadata);
    CHECK(find_header(message.headers_, "X-Bamboohoist-Caller-Service") == "orders");
    CHECK(find_header(message.headers_, "X-Bamboohoist-Target-Instance") == "i-1");
    CHECK(find_header(message.headers_, "X-Bamboohoist-Deadline-Remaining") == "1200");
    CHECK(find_header(message.headers_, "X-Other") == "stays");
    CHECK(message.headers_.size() == 5);
}

TEST_CASE("a response to another request and an unsigned or encoded success are rejected")
{
    CHECK(targets.read(make_response(200, {matching_id, signature}), target_metadata) ==
          response_kind::valid);
    CHECK(targets.read(make_response(500, {matching_id}), target_metadata) == response_kind::valid);
    CHECK(targets.read(make_response(200, {matching_id}), target_metadata) ==
          response_kind::unproven);
    const header other{"X-Bamboohoist-Attempt-Id", "r-0"};
    CHECK(targets.read(make_response(200, {other, signature}), target_metadata) ==
          response_kind::foreign);
    const header encoding{"Content-Encoding", "gzip"};
    CHECK(targets.read(make_response(200, {matching_id, signature, encoding}), target_metadata) ==
          response_kind::unproven);
}

// A late second response without an identifier was taken for that of the next request.
TEST_CASE(
    "a success without an identifier is not proven, and \"not run\" of another request is foreign")
{
    CHECK(targets.read(make_response(200, {signature}), target_metadata) ==
          response_kind::unproven);
    const header other{"X-Bamboohoist-Attempt-Id", "r-0"};
    const header not_executed_field{"X-Bamboohoist-Not-Executed", "1"};
    CHECK(targets.read(make_response(503, {other, not_executed_field}), target_metadata) ==
          response_kind::foreign);
    CHECK(targets.read(make_response(421, {other}), target_metadata) == response_kind::foreign);
}

// A server's late 408 promised the next caller on its connection that nothing had run.
TEST_CASE("a response without an identifier is foreign on a connection that was used before")
{
    target_request_metadata reused = target_metadata;
    reused.reused_connection_ = true;
    const header not_executed_field{"X-Bamboohoist-Not-Executed", "1"};
    CHECK(targets.read(make_response(408, {}), reused) == response_kind::foreign);
    CHECK(targets.read(make_response(503, {not_executed_field}), reused) == response_kind::foreign);
    CHECK(targets.read(make_response(503, {matching_id, not_executed_field}), reused) ==
          response_kind::not_executed);
}

// A second response filled up the body of one that broke off.
TEST_CASE("a success whose body holds the head of another response is not proven")
{
    response_message spliced = make_response(200, {matching_id, signature});
    spliced.body_ = "half HTTP/1.1 200 OK\r\nX-Bamboohoist-Attempt-Id: r-1\r\n\r\nwhole";
    CHECK(targets.read(spliced, target_metadata) == response_kind::unproven);
}

// A first answer broke off in its head, and the second one continues it.
TEST_CASE("a head with two attempt identifiers or two signatures is not taken for one answer")
{
    const header second_id{"X-Bamboohoist-Attempt-Id", "r-0"};
    const header second_signature{"X-Bamboohoist-Response-Signature", "5a2.600"};
    CHECK(targets.read(make_response(200, {matching_id, signature, second_id, second_signature}),
                       target_metadata) == response_kind::unproven);
    CHECK(targets.read(make_response(200, {matching_id, signature, matching_id}),
                       target_metadata) == response_kind::unproven);
    CHECK(targets.read(make_response(200, {matching_id, signature, second_signature}),
                       target_metadata) == response_kind::unproven);
    CHECK(targets.read(make_response(500, {matching_id, second_id}), target_metadata) ==
          response_kind::unproven);
    const header not_executed_field{"X-Bamboohoist-Not-Executed", "1"};
    CHECK(targets.read(make_response(200, {matching_id, second_id, not_executed_field}),
                       target_metadata) == response_kind::unproven);
}

// Targets echo the identifier; a late second answer without one is not of the request that
// waits.
TEST_CASE("a signed response that does not name its attempt is not taken for that of the next one")
{
    CHECK(targets.read(make_response(200, {signature}), target_metadata) ==
          response_kind::unproven);
    CHECK(targets.read(make_response(500, {signature}), target_metadata) ==
          response_kind::unproven);
    CHECK(targets.read(make_response(500, {}), target_metadata) == response_kind::valid);
}

// A server's time limit answered 503 while the request went on, and callers were promised that it
// had not run.
TEST_CASE("a status that means \"not run\" is not proven without the identifier and the field")
{
    for (const int status : {408, 429, 503})
    {
        CAPTURE(status);
        CHECK(targets.read(make_response(status, {}), target_metadata) == response_kind::unproven);
    }
}

TEST_CASE("only status 421 or the not-executed field means that a target did not run the request")
{
    const header not_executed_field{"X-Bamboohoist-Not-Executed", "1"};
    CHECK(targets.read(make_response(503, {not_executed_field}), target_metadata) ==
          response_kind::not_executed);
    CHECK(targets.read(make_response(421, {}), target_metadata) == response_kind::wrong_target);
    CHECK(targets.read(make_response(503, {matching_id}), target_metadata) == response_kind::valid);
}
