#ifndef BAMBOOHOIST_WIRE_GOSSIP_CODEC_HPP
#define BAMBOOHOIST_WIRE_GOSSIP_CODEC_HPP

#include "core/event_log.hpp"
#include "policy/member_table.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// The kinds of datagrams between control threads.
enum class gossip_kind : std::uint8_t
{
    ping, ///< The receiver replies with an ack.
    ack,
    ping_request, ///< The receiver pings the node `subject_` and relays its ack.
    in_force,     ///< The sender has put the revision `sequence_` in force.
    target_crash, ///< `crash_suspects_` were in flight when the target `subject_` died.
    update,       ///< Member records; no reply is expected.
};

/// One datagram between control threads. Every kind carries the sender's view of the fleet.
struct gossip_message
{
    gossip_kind kind_ = gossip_kind::ping;
    std::string from_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0; ///< Matches an ack to its ping; for `in_force` a revision.
    std::string subject_;
    std::string domain_;
    hlc_timestamp stamp_;
    std::uint64_t revision_ = 0;    ///< Newest revision that the sender knows.
    bool accepted_ = false;         ///< Whether the sender knows that this revision was accepted.
    std::uint64_t fingerprint_ = 0; ///< Hash of the sender's member table.
    std::vector<member_record> records_;
    std::vector<std::uint64_t> crash_suspects_; ///< Fingerprints of requests.
};

std::string encode_gossip(const gossip_message& message);

/// Empty with `bad_request` when the bytes are not a gossip message.
std::optional<gossip_message> decode_gossip(std::string_view bytes);

/// Encoded size of a record in a datagram, in bytes.
std::size_t encoded_size(const member_record& record);

std::string encode_records(std::span<const member_record* const> records);
std::optional<std::vector<member_record>> decode_records(std::string_view bytes);

/// What a peer replies to a node that has started.
struct survey_reply
{
    bool knows_fleet_ = false;           ///< The peer's own view of the fleet is complete.
    std::vector<member_record> records_; ///< Those that are newer at the peer.
};

std::string encode_survey(bool knows_fleet, std::span<const member_record* const> records);
std::optional<survey_reply> decode_survey(std::string_view bytes);

std::string encode_digest(std::span<const member_digest> digest);
std::optional<std::vector<member_digest>> decode_digest(std::string_view bytes);

std::string encode_events(std::span<const event> events);
std::optional<std::vector<event>> decode_events(std::string_view bytes);

} // namespace bamboohoist

#endif
