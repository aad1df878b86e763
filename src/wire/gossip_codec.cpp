#include "wire/gossip_codec.hpp"

#include "wire/msgpack.hpp"

namespace bamboohoist {

namespace {

using json = nlohmann::json;

json to_json(const target_record& target)
{
    return json::array({target.id_, target.service_, target.slots_, target.leaving_,
                        target.stop_wanted_, target.weight_});
}

target_record to_target(const json& element)
{
    target_record target;
    target.id_ = element.at(0).get<std::string>();
    target.service_ = element.at(1).get<std::string>();
    target.slots_ = element.at(2).get<std::uint32_t>();
    target.leaving_ = element.at(3).get<bool>();
    target.stop_wanted_ = element.at(4).get<bool>();
    target.weight_ = element.at(5).get<std::uint8_t>();
    return target;
}

json to_json(const member_record& record)
{
    json targets = json::array();
    for (const target_record& target : record.targets_)
    {
        targets.push_back(to_json(target));
    }
    return json::array({record.node_, record.region_, record.domain_, record.guard_address_,
                        record.gossip_address_, record.incarnation_, record.version_,
                        static_cast<int>(record.state_), std::move(targets)});
}

member_record to_record(const json& element)
{
    member_record record;
    record.node_ = element.at(0).get<std::string>();
    record.region_ = element.at(1).get<std::string>();
    record.domain_ = element.at(2).get<std::string>();
    record.guard_address_ = element.at(3).get<std::string>();
    record.gossip_address_ = element.at(4).get<std::string>();
    record.incarnation_ = element.at(5).get<std::uint64_t>();
    record.version_ = element.at(6).get<std::uint64_t>();
    const int state = element.at(7).get<int>();
    if (state < 0 || state > static_cast<int>(member_state::left))
    {
        throw std::out_of_range("the member state is out of range");
    }
    record.state_ = static_cast<member_state>(state);
    for (const json& target : element.at(8))
    {
        record.targets_.push_back(to_target(target));
    }
    return record;
}

json to_json(std::span<const member_record* const> records)
{
    json packed = json::array();
    for (const member_record* record : records)
    {
        packed.push_back(to_json(*record));
    }
    return packed;
}

std::vector<member_record> to_records(const json& element)
{
    std::vector<member_record> records;
    for (const json& record : element)
    {
        records.push_back(to_record(record));
    }
    return records;
}

event to_event(const json& element)
{
    event entry;
    entry.at_.wall_ms_ = element.at(0).get<std::int64_t>();
    entry.at_.logical_ = element.at(1).get<std::uint32_t>();
    entry.node_ = element.at(2).get<std::string>();
    entry.subject_ = element.at(3).get<std::string>();
    entry.what_ = element.at(4).get<std::string>();
    entry.rule_ = element.at(5).get<std::string>();
    entry.evidence_ = element.at(6).get<std::string>();
    entry.revision_ = element.at(7).get<std::uint64_t>();
    entry.note_ = element.at(8).get<std::string>();
    return entry;
}

gossip_message to_message(const json& element)
{
    gossip_message message;
    const int kind = element.at(0).get<int>();
    if (kind < 0 || kind > static_cast<int>(gossip_kind::update))
    {
        throw std::out_of_range("the gossip kind is out of range");
    }
    message.kind_ = static_cast<gossip_kind>(kind);
    message.from_ = element.at(1).get<std::string>();
    message.incarnation_ = element.at(2).get<std::uint64_t>();
    message.sequence_ = element.at(3).get<std::uint64_t>();
    message.subject_ = element.at(4).get<std::string>();
    message.domain_ = element.at(5).get<std::string>();
    message.stamp_.wall_ms_ = element.at(6).get<std::int64_t>();
    message.stamp_.logical_ = element.at(7).get<std::uint32_t>();
    message.revision_ = element.at(8).get<std::uint64_t>();
    message.accepted_ = element.at(9).get<bool>();
    message.fingerprint_ = element.at(10).get<std::uint64_t>();
    message.records_ = to_records(element.at(11));
    message.crash_suspects_ = element.at(12).get<std::vector<std::uint64_t>>();
    return message;
}

} // namespace

std::string encode_gossip(const gossip_message& message)
{
    json records = json::array();
    for (const member_record& record : message.records_)
    {
        records.push_back(to_json(record));
    }
    return pack(
        json::array({static_cast<int>(message.kind_), message.from_, message.incarnation_,
                     message.sequence_, message.subject_, message.domain_, message.stamp_.wall_ms_,
                     message.stamp_.logical_, message.revision_, message.accepted_,
                     message.fingerprint_, std::move(records), message.crash_suspects_}));
}

std::optional<gossip_message> decode_gossip(std::string_view bytes)
{
    return unpack(bytes, to_message);
}

std::size_t encoded_size(const member_record& record)
{
    return pack(to_json(record)).size();
}

std::string encode_records(std::span<const member_record* const> records)
{
    return pack(to_json(records));
}

std::optional<std::vector<member_record>> decode_records(std::string_view bytes)
{
    return unpack(bytes, &to_records);
}

std::string encode_survey(bool knows_fleet, std::span<const member_record* const> records)
{
    return pack(json::array({knows_fleet, to_json(records)}));
}

std::optional<survey_reply> decode_survey(std::string_view bytes)
{
    return unpack(bytes, [](const json& element) {
        survey_reply reply;
        reply.knows_fleet_ = element.at(0).get<bool>();
        reply.records_ = to_records(element.at(1));
        return reply;
    });
}

std::string encode_digest(std::span<const member_digest> digest)
{
    json packed = json::array();
    for (const member_digest& entry : digest)
    {
        packed.push_back(json::array(
            {entry.node_, entry.incarnation_, entry.version_, static_cast<int>(entry.state_)}));
    }
    return pack(packed);
}

std::optional<std::vector<member_digest>> decode_digest(std::string_view bytes)
{
    return unpack(bytes, [](const json& element) {
        std::vector<member_digest> digest;
        for (const json& item : element)
        {
            member_digest entry;
            entry.node_ = item.at(0).get<std::string>();
            entry.incarnation_ = item.at(1).get<std::uint64_t>();
            entry.version_ = item.at(2).get<std::uint64_t>();
            entry.state_ = static_cast<member_state>(item.at(3).get<int>());
            digest.push_back(std::move(entry));
        }
        return digest;
    });
}

std::string encode_events(std::span<const event> events)
{
    json packed = json::array();
    for (const event& entry : events)
    {
        packed.push_back(
            json::array({entry.at_.wall_ms_, entry.at_.logical_, entry.node_, entry.subject_,
                         entry.what_, entry.rule_, entry.evidence_, entry.revision_, entry.note_}));
    }
    return pack(packed);
}

std::optional<std::vector<event>> decode_events(std::string_view bytes)
{
    return unpack(bytes, [](const json& element) {
        std::vector<event> events;
        for (const json& item : element)
        {
            events.push_back(to_event(item));
        }
        return events;
    });
}

} // namespace bamboohoist
