#include "wire/quota_codec.hpp"

#include "wire/msgpack.hpp"

#include <cmath>
#include <limits>
#include <stdexcept>

namespace bamboohoist {

namespace {

using json = nlohmann::json;

constexpr std::string_view call_name = "quota";
constexpr std::size_t short_ask_size = 6;   ///< Without the owner's name.
constexpr std::size_t short_reply_size = 3; ///< Without the times of a refusal.

std::uint32_t to_count(const json& element)
{
    if (!element.is_number_unsigned() ||
        element.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    {
        throw std::out_of_range("not a count");
    }
    return element.get<std::uint32_t>();
}

template <typename Enumeration>
Enumeration to_enumeration(const json& element)
{
    const std::uint32_t value = to_count(element);
    if (value >= static_cast<std::uint32_t>(Enumeration::count))
    {
        throw std::out_of_range("a value is not in its list");
    }
    return static_cast<Enumeration>(value);
}

std::uint32_t whole_ms(duration value)
{
    return static_cast<std::uint32_t>(std::lround(std::ceil(std::max(0.0, to_ms(value)))));
}

duration to_duration(const json& element)
{
    return std::chrono::milliseconds(to_count(element));
}

quota_ask to_ask(const json& element)
{
    quota_ask ask;
    ask.organisation_ = element.at(0).get<std::string>();
    ask.role_ = to_enumeration<quota_role>(element.at(1));
    ask.waiting_ = to_count(element.at(2));
    ask.wanted_ = to_count(element.at(3));
    ask.used_ = to_count(element.at(4));
    ask.returned_ = to_count(element.at(5));
    if (element.size() > short_ask_size)
    {
        ask.owner_ = element.at(6).get<std::string>();
    }
    return ask;
}

quota_reply to_reply(const json& element)
{
    quota_reply reply;
    reply.verdict_ = to_enumeration<quota_verdict>(element.at(0));
    reply.granted_ = to_count(element.at(1));
    reply.valid_ = to_duration(element.at(2));
    if (element.size() > short_reply_size)
    {
        reply.ask_again_ = to_duration(element.at(3));
        reply.retry_after_ = to_duration(element.at(4));
        reply.balance_ = element.at(5).get<double>();
    }
    return reply;
}

} // namespace

stream_message encode_quota_call(const quota_ask& ask)
{
    json fields = json::array({ask.organisation_, static_cast<std::uint32_t>(ask.role_),
                               ask.waiting_, ask.wanted_, ask.used_, ask.returned_});
    if (!ask.owner_.empty())
    {
        fields.push_back(ask.owner_);
    }
    stream_message message;
    message.fields_ = {{":method", "POST"},
                       {":scheme", "http"},
                       {":authority", "guard"},
                       {":path", "/"},
                       {std::string(internal_call_field), std::string(call_name)}};
    message.body_ = pack(fields);
    return message;
}

bool is_quota_call(const stream_message& message)
{
    return find_header(message.fields_, internal_call_field) == call_name;
}

std::optional<quota_ask> decode_quota_call(const stream_message& message)
{
    return unpack(message.body_, to_ask);
}

stream_message encode_quota_reply(const quota_reply& reply)
{
    json fields = json::array(
        {static_cast<std::uint32_t>(reply.verdict_), reply.granted_, whole_ms(reply.valid_)});
    if (reply.verdict_ == quota_verdict::refused)
    {
        fields.push_back(whole_ms(reply.ask_again_));
        fields.push_back(whole_ms(reply.retry_after_));
        fields.push_back(static_cast<float>(reply.balance_));
    }
    stream_message message;
    message.fields_ = {{":status", "200"}};
    message.body_ = pack(fields);
    return message;
}

std::optional<quota_reply> decode_quota_reply(const stream_message& message)
{
    return unpack(message.body_, to_reply);
}

} // namespace bamboohoist
