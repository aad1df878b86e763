#ifndef BAMBOOHOIST_WIRE_QUOTA_CODEC_HPP
#define BAMBOOHOIST_WIRE_QUOTA_CODEC_HPP

#include "policy/quota_terms.hpp"
#include "wire/stream_message.hpp"

#include <optional>

namespace bamboohoist {

/// Encodes an ask as a call to the guard of an owner. Asks are frequent, so fields that are not
/// needed are left out.
stream_message encode_quota_call(const quota_ask& ask);

/// True when a stream carries an ask for credits of an organisation.
bool is_quota_call(const stream_message& message);

/// Empty with `bad_request` when the call is malformed.
std::optional<quota_ask> decode_quota_call(const stream_message& message);

stream_message encode_quota_reply(const quota_reply& reply);

/// Empty with `bad_request` when the reply is malformed.
std::optional<quota_reply> decode_quota_reply(const stream_message& message);

} // namespace bamboohoist

#endif
