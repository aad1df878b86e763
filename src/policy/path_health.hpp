#ifndef BAMBOOHOIST_POLICY_PATH_HEALTH_HPP
#define BAMBOOHOIST_POLICY_PATH_HEALTH_HPP

#include "core/clock.hpp"

#include <cstdint>

namespace bamboohoist {

/// Health of the network path from an ingress to a target's node. The path is paused when attempts
/// time out and no bytes at all arrive over it. When a target does not respond on a working path,
/// its health is decided by its guard.
class path_health
{
public:
    /// Records an attempt that took too long. `received_bytes` is the total received over the link
    /// so far. True when the other side should be pinged.
    bool record_timeout(std::uint64_t received_bytes, instant now);

    /// Records an attempt that got a response.
    void record_success();

    /// Records an attempt that failed because the link failed.
    void record_failure(instant now);

    /// False during a pause. The pause doubles with each consecutive failure.
    bool is_usable(instant now) const;

private:
    std::uint32_t failures_ = 0; ///< Consecutive failures.
    std::uint64_t received_at_timeout_ = 0;
    instant paused_until_;
};

} // namespace bamboohoist

#endif
