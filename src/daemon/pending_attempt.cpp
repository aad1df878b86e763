#include "daemon/pending_attempt.hpp"

namespace bamboohoist {

std::string describe_attempts(std::uint32_t attempts, std::uint32_t targets_reached,
                              std::string_view latest_target,
                              const std::optional<duration>& time_left)
{
    std::string text = "attempts " + std::to_string(attempts) + ", received by targets " +
                       std::to_string(targets_reached) + ", latest target " +
                       std::string(latest_target.empty() ? "none" : latest_target);
    if (time_left)
    {
        text += ", time left " + std::to_string(static_cast<long>(to_ms(*time_left))) + " ms";
    }
    return text;
}

std::string describe_pending(std::span<const pending_attempt> attempts, instant now)
{
    std::string text;
    for (const pending_attempt& attempt : attempts)
    {
        text += ", in flight at " + attempt.target_.id_ + " for " +
                std::to_string(static_cast<long>(to_ms(now - attempt.sent_))) + " ms, weight " +
                std::to_string(attempt.target_.weight_);
    }
    return text;
}

} // namespace bamboohoist
