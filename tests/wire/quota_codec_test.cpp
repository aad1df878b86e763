/// Guards against asks and replies between nodes that lose a field or accept malformed ones.

#include "wire/quota_codec.hpp"

#include "wire/msgpack.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

TEST_CASE("an ask for credits keeps its fields")
{
    quota_ask ask{.organisation_ = "acme",
                  .role_ = quota_role::substitute,
                  .owner_ = "n1",
                  .waiting_ = 2,
                  .wanted_ = 700,
                  .used_ = 3,
                  .returned_ = 4};
    const stream_message message = encode_quota_call(ask);
    CHECK(is_quota_call(message));
    const auto decoded = decode_quota_call(message);
    REQUIRE(decoded);
    CHECK(decoded->organisation_ == "acme");
    CHECK(decoded->role_ == quota_role::substitute);
    CHECK(decoded->owner_ == "n1");
    CHECK(decoded->waiting_ == 2);
    CHECK(decoded->wanted_ == 700);
    CHECK(decoded->used_ == 3);
    CHECK(decoded->returned_ == 4);
}

TEST_CASE("a reply to an ask keeps its fields")
{
    quota_reply reply;
    reply.verdict_ = quota_verdict::refused;
    reply.granted_ = 1;
    reply.valid_ = std::chrono::seconds(1);
    reply.ask_again_ = std::chrono::milliseconds(40);
    reply.retry_after_ = std::chrono::microseconds(1200);
    reply.balance_ = 0.5;
    const auto decoded = decode_quota_reply(encode_quota_reply(reply));
    REQUIRE(decoded);
    CHECK(decoded->verdict_ == quota_verdict::refused);
    CHECK(decoded->granted_ == 1);
    CHECK(decoded->valid_ == std::chrono::seconds(1));
    CHECK(decoded->ask_again_ == std::chrono::milliseconds(40));
    // Rounded up: a caller that comes too early is refused again.
    CHECK(decoded->retry_after_ == std::chrono::milliseconds(2));
    CHECK(decoded->balance_ == 0.5);
}

TEST_CASE("malformed asks and replies are rejected")
{
    using json = nlohmann::json;
    const auto message = [](const json& value) { return stream_message{{}, pack(value)}; };
    CHECK_FALSE(decode_quota_call(message(json::array({"acme", 9, 1, 1, 0, 0}))));
    CHECK_FALSE(decode_quota_call(message(json::array({"acme", 0, -1, 1, 0, 0}))));
    CHECK_FALSE(decode_quota_call(message(json::array({"acme", 0, 1}))));
    CHECK_FALSE(decode_quota_reply(message(json::array({0, 1LL << 40, 1000}))));
    CHECK_FALSE(decode_quota_reply(message(json::array({7, 1, 1000}))));
    CHECK_FALSE(decode_quota_reply(stream_message{{}, "\xc1"}));
    CHECK_FALSE(is_quota_call(stream_message{}));
}

TEST_CASE("an ask and its reply are small")
{
    // With 151 asks a second at each node they take a large part of the control budget.
    const quota_ask ask{.organisation_ = "organisation", .waiting_ = 1, .wanted_ = 1};
    CHECK(encode_quota_call(ask).body_.size() <= 19);
    quota_reply reply;
    reply.verdict_ = quota_verdict::granted;
    reply.granted_ = 1;
    reply.valid_ = std::chrono::seconds(1);
    CHECK(encode_quota_reply(reply).body_.size() <= 6);
}
