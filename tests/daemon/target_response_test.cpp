#include "daemon/target_response.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

transfer_result make_result(transfer_end end)
{
    transfer_result result;
    result.end_ = end;
    result.response_.status_ = 200;
    result.response_.headers_ = {{"X-Id", "7f"}, {"Connection", "close"}, {"Content-Length", "4"}};
    result.response_.body_ = "abcd";
    return result;
}

} // namespace

TEST_CASE("nothing of a response that is incomplete or not accepted is passed on")
{
    for (const transfer_end end : {transfer_end::lost, transfer_end::timed_out,
                                   transfer_end::too_large, transfer_end::foreign})
    {
        const forwarded_response response =
            make_target_response(make_result(end), response_kind::valid);
        CHECK(response.error_ != error_kind::none);
        CHECK(response.outcome_ != outcome::not_run);
        CHECK(response.message_.headers_.empty());
        CHECK(response.message_.body_.empty());
    }
    for (const response_kind kind : {response_kind::foreign, response_kind::unproven,
                                     response_kind::not_executed, response_kind::wrong_target})
    {
        const forwarded_response response =
            make_target_response(make_result(transfer_end::complete), kind);
        CHECK(response.error_ != error_kind::none);
        CHECK(response.message_.body_.empty());
        const bool says_not_run =
            kind == response_kind::not_executed || kind == response_kind::wrong_target;
        CHECK((response.outcome_ == outcome::not_run) == says_not_run);
    }
}

// Callers got 503 for a request that its target had run when a kept connection broke.
TEST_CASE("that a second copy of a request was not run says nothing of the first")
{
    for (const response_kind kind : {response_kind::not_executed, response_kind::wrong_target})
    {
        transfer_result result = make_result(transfer_end::complete);
        result.sent_again_ = true;
        CHECK(make_target_response(std::move(result), kind).outcome_ == outcome::unknown);
    }
}

TEST_CASE("an accepted response is passed on without the fields of its connection")
{
    const forwarded_response response =
        make_target_response(make_result(transfer_end::complete), response_kind::valid);
    CHECK(response.error_ == error_kind::none);
    CHECK(response.outcome_ == outcome::ran);
    CHECK(response.message_.body_ == "abcd");
    CHECK(find_header(response.message_.headers_, "X-Id") == "7f");
    CHECK(find_header(response.message_.headers_, "Content-Length") == "4");
    CHECK_FALSE(find_header(response.message_.headers_, "Connection"));
}
