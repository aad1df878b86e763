#ifndef BAMBOOHOIST_PROTOCOL_MADE_ANSWERS_HPP
#define BAMBOOHOIST_PROTOCOL_MADE_ANSWERS_HPP

#include "protocol/caller_protocol.hpp"

namespace bamboohoist {

/// An answer whose JSON body names the error, the outcome, the detail and the request, with a
/// `Retry-After` in seconds when one is known.
answer_message explained_answer(int status, const made_answer& made);

/// The JSON answer to an announcement that was refused, or to any other call of this VM.
answer_message refusal_answer(const reason& why);

} // namespace bamboohoist

#endif
