#include "daemon/pending_attempt.hpp"

namespace bamboohoist {

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
