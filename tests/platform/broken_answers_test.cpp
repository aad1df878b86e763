#include "fakes/scripted_server.hpp"
#include "harness/transfer.hpp"
#include "platform/request_protocols.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr std::string_view request_id = "9c41d07be2a35f68";
constexpr std::string_view whole_body = "half of the sacks, and the other half.";

/// A whole answer of a target, in one of the three ways to tell the end of its body.
struct framed_answer
{
    body_framing framing_;
    std::string head_;
    std::string body_; ///< As it is sent.

    std::string bytes() const
    {
        return head_ + body_;
    }
};

framed_answer make_answer(body_framing framing, std::string_view fields, std::string body)
{
    return {framing,
            "HTTP/1.1 200 OK\r\nX-Bamboohoist-Attempt-Id: " + std::string(request_id) +
                "\r\nX-Bamboohoist-Response-Signature: 3e1b.07\r\n" + std::string(fields) + "\r\n",
            std::move(body)};
}

std::array<framed_answer, 3> make_answers()
{
    const std::string body(whole_body);
    return {make_answer(body_framing::length,
                        "Content-Length: " + std::to_string(body.size()) + "\r\n", body),
            make_answer(body_framing::chunked, "Transfer-Encoding: chunked\r\n",
                        "13\r\n" + body.substr(0, 19) + "\r\n13\r\n" + body.substr(19) +
                            "\r\n0\r\n\r\n"),
            make_answer(body_framing::connection_close, "", body)};
}

/// The body of the answer that a node would pass on, when a target sends these bytes and ends the
/// connection; nothing when it would reject them.
std::optional<std::string> accepted_body(std::string bytes, connection_end end)
{
    const scripted_server server({{std::move(bytes)}, end});
    const transfer_result ended = run_transfer(make_transfer("GET", server.address()));
    const platform::platform_target_protocol protocol;
    const response_kind kind = protocol.read(ended.response_, {request_id, "", "", duration{}});
    if (ended.end_ != transfer_end::complete || kind != response_kind::valid)
    {
        return std::nullopt;
    }
    return ended.response_.body_;
}

bool is_whole_or_rejected(const std::optional<std::string>& body)
{
    return !body || *body == whole_body;
}

} // namespace

// Callers got the first part of an answer, with a length that fits.
TEST_CASE("an answer that is cut at any byte is rejected, or its body is whole")
{
    for (const framed_answer& answer : make_answers())
    {
        const std::string bytes = answer.bytes();
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            CAPTURE(to_string(answer.framing_));
            CAPTURE(size);
            CHECK(
                is_whole_or_rejected(accepted_body(bytes.substr(0, size), connection_end::reset)));
            // The ordinary end of a connection is the only end of a body without a length.
            const bool can_be_told =
                answer.framing_ != body_framing::connection_close || size < answer.head_.size();
            if (can_be_told)
            {
                CHECK(is_whole_or_rejected(
                    accepted_body(bytes.substr(0, size), connection_end::close)));
            }
        }
        CHECK(accepted_body(bytes, connection_end::close) == whole_body);
    }
}

// Callers got a body that the bytes of a second answer had filled up.
TEST_CASE("an answer that is cut at any byte and followed by a second one is rejected or whole")
{
    const auto answers = make_answers();
    for (const framed_answer& first : answers)
    {
        const std::string bytes = first.bytes();
        for (const framed_answer& second : answers)
        {
            for (std::size_t size = 0; size <= bytes.size(); ++size)
            {
                CAPTURE(to_string(first.framing_));
                CAPTURE(to_string(second.framing_));
                CAPTURE(size);
                CHECK(is_whole_or_rejected(
                    accepted_body(bytes.substr(0, size) + second.bytes(), connection_end::close)));
            }
        }
    }
}

TEST_CASE("an answer with a length or in chunks is relayed also when more bytes follow it")
{
    for (const framed_answer& answer : make_answers())
    {
        if (answer.framing_ != body_framing::connection_close)
        {
            CAPTURE(to_string(answer.framing_));
            CHECK(accepted_body(answer.bytes() + answer.bytes(), connection_end::close) ==
                  whole_body);
        }
    }
}
