#include "wire/claim_codec.hpp"

#include "wire/msgpack.hpp"

namespace bamboohoist {

namespace {

using json = nlohmann::json;

json to_json(const claim_record& record)
{
    json headers = json::array();
    for (const header& field : record.response_.headers_)
    {
        headers.push_back(json::array({field.name_, field.value_}));
    }
    const std::string& body = record.response_.body_;
    return json::array({record.key_, record.fingerprint_, record.owner_,
                        static_cast<int>(record.state_), record.expires_ms_, record.response_kept_,
                        record.response_.status_, std::move(headers),
                        json::binary({body.begin(), body.end()}), record.attempt_, record.ran_});
}

claim_record to_record(const json& element)
{
    claim_record record;
    record.key_ = element.at(0).get<std::string>();
    record.fingerprint_ = element.at(1).get<std::uint64_t>();
    record.owner_ = element.at(2).get<std::string>();
    const int state = element.at(3).get<int>();
    if (state < 0 || state > static_cast<int>(claim_state::released))
    {
        throw std::out_of_range("the claim state is out of range");
    }
    record.state_ = static_cast<claim_state>(state);
    record.expires_ms_ = element.at(4).get<std::int64_t>();
    record.response_kept_ = element.at(5).get<bool>();
    record.response_.status_ = element.at(6).get<int>();
    for (const json& field : element.at(7))
    {
        record.response_.headers_.push_back(
            header{field.at(0).get<std::string>(), field.at(1).get<std::string>()});
    }
    const auto& body = element.at(8).get_binary();
    record.response_.body_.assign(body.begin(), body.end());
    record.attempt_ = element.at(9).get<std::uint32_t>();
    record.ran_ = element.at(10).get<bool>();
    return record;
}

claim_generation to_generation(const json& element)
{
    claim_generation generation;
    generation.number_ = element.at(0).get<std::uint64_t>();
    generation.sealed_ = element.at(1).get<bool>();
    for (const json& record : element.at(2))
    {
        generation.records_.push_back(to_record(record));
    }
    return generation;
}

claim_reply to_reply(const json& element)
{
    claim_reply reply;
    reply.decided_ = element.at(0).get<bool>();
    reply.result_ = element.at(1).get<bool>() ? claim_result::accepted : claim_result::refused;
    reply.current_record_ = to_record(element.at(2));
    return reply;
}

} // namespace

std::string encode_generation(const claim_generation& generation)
{
    json records = json::array();
    for (const claim_record& record : generation.records_)
    {
        records.push_back(to_json(record));
    }
    return pack(json::array({generation.number_, generation.sealed_, std::move(records)}));
}

std::optional<claim_generation> decode_generation(std::string_view bytes)
{
    return unpack(bytes, to_generation);
}

std::string encode_claim(const claim_record& record)
{
    return pack(to_json(record));
}

std::optional<claim_record> decode_claim(std::string_view bytes)
{
    return unpack(bytes, to_record);
}

std::string encode_claim_reply(const claim_reply& reply)
{
    return pack(json::array(
        {reply.decided_, reply.result_ == claim_result::accepted, to_json(reply.current_record_)}));
}

std::optional<claim_reply> decode_claim_reply(std::string_view bytes)
{
    return unpack(bytes, to_reply);
}

} // namespace bamboohoist
