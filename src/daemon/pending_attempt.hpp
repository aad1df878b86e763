#ifndef BAMBOOHOIST_DAEMON_PENDING_ATTEMPT_HPP
#define BAMBOOHOIST_DAEMON_PENDING_ATTEMPT_HPP

#include "policy/fleet.hpp"
#include "wire/peer_link.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohoist {

/// An attempt that an ingress sent and that has no response yet.
struct pending_attempt
{
    std::uint32_t number_ = 0;
    fleet_target target_;
    instant sent_;
    peer_link* link_ = nullptr;
    peer_link::call_id call_ = 0;
    bool trial_ = false; ///< Sent as the trial of an ejected target.
};

/// Describes for the decision log what became of a request so far. `time_left` is empty for one
/// that was not admitted.
std::string describe_attempts(std::uint32_t attempts, std::uint32_t targets_reached,
                              std::string_view latest_target,
                              const std::optional<duration>& time_left);

/// Describes the attempts in flight for the decision log; empty when there are none.
std::string describe_pending(std::span<const pending_attempt> attempts, instant now);

} // namespace bamboohoist

#endif
