#include "core/error.hpp"
#include "core/random_source.hpp"
#include "wire/gossip_codec.hpp"
#include "wire/request_codec.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

member_record sample_member()
{
    member_record record;
    record.node_ = "n1";
    record.region_ = "r";
    record.domain_ = "d";
    record.guard_address_ = "127.0.0.1:1";
    record.gossip_address_ = "127.0.0.1:2";
    record.incarnation_ = 17;
    record.version_ = 4;
    record.state_ = member_state::suspect;
    record.targets_ = {{"s@127.0.0.1:9", "s", 7, true, true, 10}};
    return record;
}

} // namespace

TEST_CASE("decoded requests and responses keep the caller's fields without the internal ones")
{
    forwarded_request request;
    request.id_ = "id";
    request.service_ = "s";
    request.target_ = "s@127.0.0.1:9";
    request.idempotency_key_ = "k";
    request.time_left_ = std::chrono::milliseconds(250);
    request.baseline_ = {12.5, 0.25};
    request.message_ = {"POST", "coop", "/a?b=c", {{"X-Mixed-Case", "v"}}, "body"};
    const auto received = decode_request(encode_request(request));
    REQUIRE(received);
    CHECK(received->time_left_ == request.time_left_);
    CHECK(received->baseline_.latency_ms_ == 12.5);
    CHECK(received->message_.target_ == "/a?b=c");
    CHECK(received->message_.body_ == "body");
    REQUIRE(received->message_.headers_.size() == 1);
    CHECK(received->message_.headers_[0].name_ == "x-mixed-case");

    forwarded_response response;
    response.outcome_ = outcome::ran;
    response.load_ = {3, 2, 7};
    response.weight_ = 0.5;
    response.message_ = {201, {{"a", "b"}}, "whole"};
    const auto decoded_response = decode_response(encode_response(response));
    REQUIRE(decoded_response);
    CHECK(decoded_response->message_.status_ == 201);
    CHECK(decoded_response->load_.queued_ == 2);
    CHECK(decoded_response->message_.headers_.size() == 1);
}

TEST_CASE("the rank of a request is carried, and a node of an older version sends none")
{
    forwarded_request request;
    request.target_ = "s@127.0.0.1:9";
    request.message_.method_ = "GET";
    const auto has_rank = [](const header& field) { return field.name_ == "bamboohoist-rank"; };
    stream_message without_rank = encode_request(request);
    CHECK(std::ranges::none_of(without_rank.fields_, has_rank));
    const auto highest = decode_request(std::move(without_rank));
    REQUIRE(highest);
    CHECK(highest->rank_ == request_rank{0, 0});

    request.rank_ = {1, 2};
    stream_message message = encode_request(request);
    const auto received = decode_request(message);
    REQUIRE(received);
    CHECK(received->rank_ == request_rank{1, 2});

    std::ranges::find_if(message.fields_, has_rank)->value_ = "urgent";
    CHECK_FALSE(decode_request(std::move(message)));
    CHECK(last_reason().kind_ == error_kind::bad_request);
}

TEST_CASE("malformed messages from peers are refused")
{
    CHECK_FALSE(decode_request(stream_message{}));
    CHECK(last_reason().kind_ == error_kind::bad_request);
    CHECK_FALSE(decode_response(stream_message{}));
    random_source random(1);
    const std::string valid = encode_gossip(gossip_message{});
    for (int i = 0; i < 2000; ++i)
    {
        std::string bytes = valid;
        bytes[random.index(bytes.size())] = static_cast<char>(random.index(256));
        bytes.resize(random.index(bytes.size() + 1));
        decode_gossip(bytes); // Must neither crash nor throw.
    }
    CHECK_FALSE(decode_gossip("nonsense"));
    CHECK_FALSE(decode_records(std::string(5, '\xc1')));
}

TEST_CASE("a decoded gossip message keeps its kind, records and crash suspects")
{
    gossip_message message;
    message.kind_ = gossip_kind::target_crash;
    message.from_ = "n1";
    message.revision_ = 12;
    message.accepted_ = true;
    message.records_ = {sample_member()};
    message.crash_suspects_ = {1, ~0ULL};
    const auto received = decode_gossip(encode_gossip(message));
    REQUIRE(received);
    CHECK(received->kind_ == gossip_kind::target_crash);
    CHECK(received->records_.front() == sample_member());
    CHECK(received->crash_suspects_ == message.crash_suspects_);
}
