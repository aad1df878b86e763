#ifndef BAMBOOHOIST_CONFIG_RECOVERY_JSON_HPP
#define BAMBOOHOIST_CONFIG_RECOVERY_JSON_HPP

#include "policy/recovery_notes.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// What a node replies to a peer that asks for recovery notes.
struct recovery_reply
{
    bool complete_ = false; ///< The replying node has itself read what its predecessors left.
    std::vector<recovery_note> notes_;
};

/// The text of one note, as it is stored.
std::string write_recovery_note(const recovery_note& note);

/// Empty, with a last reason, when the text is not a note.
std::optional<recovery_note> parse_recovery_note(std::string_view text);

std::string write_recovery_reply(const recovery_reply& reply);

/// Empty, with a last reason, when the text is not a reply.
std::optional<recovery_reply> parse_recovery_reply(std::string_view text);

} // namespace bamboohoist

#endif
