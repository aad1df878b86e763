#include "policy/path_health.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration min_pause = std::chrono::milliseconds(200);
constexpr std::uint32_t max_doublings = 5;

} // namespace

bool path_health::record_timeout(std::uint64_t received_bytes, instant now)
{
    if (failures_ == 0)
    {
        // A single late response proves nothing. Whether any bytes arrive from now on decides.
        failures_ = 1;
        received_at_timeout_ = received_bytes;
        return true;
    }
    if (received_bytes != received_at_timeout_)
    {
        record_success();
        return false;
    }
    record_failure(now);
    return true;
}

void path_health::record_success()
{
    failures_ = 0;
}

void path_health::record_failure(instant now)
{
    const std::uint32_t doublings = std::min(failures_, max_doublings);
    ++failures_;
    paused_until_ = now + min_pause * (1U << doublings);
}

bool path_health::is_usable(instant now) const
{
    return now >= paused_until_;
}

} // namespace bamboohoist
