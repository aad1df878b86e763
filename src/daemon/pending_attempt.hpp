#ifndef BAMBOOHOIST_DAEMON_PENDING_ATTEMPT_HPP
#define BAMBOOHOIST_DAEMON_PENDING_ATTEMPT_HPP

#include "policy/fleet.hpp"
#include "wire/peer_link.hpp"

#include <cstdint>
#include <span>
#include <string>

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

/// Describes the attempts in flight for the decision log; empty when there are none.
std::string describe_pending(std::span<const pending_attempt> attempts, instant now);

} // namespace bamboohoist

#endif
