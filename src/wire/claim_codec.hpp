#ifndef BAMBOOHOIST_WIRE_CLAIM_CODEC_HPP
#define BAMBOOHOIST_WIRE_CLAIM_CODEC_HPP

#include "policy/claim_shard.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// The reply of the node responsible for a claim shard to a request to write one record.
struct claim_reply
{
    bool decided_ = false; ///< False when the store did not reply in time.
    claim_result result_ = claim_result::refused;
    claim_record current_record_; ///< The newest entry of the key when refused.
};

std::string encode_generation(const claim_generation& generation);
std::optional<claim_generation> decode_generation(std::string_view bytes);

std::string encode_claim(const claim_record& record);
std::optional<claim_record> decode_claim(std::string_view bytes);

std::string encode_claim_reply(const claim_reply& reply);
std::optional<claim_reply> decode_claim_reply(std::string_view bytes);

} // namespace bamboohoist

#endif
