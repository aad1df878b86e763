#include "policy/share_count.hpp"

namespace bamboohoist {

namespace {

/// Longer than the windows of the quotas and of the retry budget, and than a node takes to leave.
constexpr duration shrink_delay = std::chrono::seconds(30);

} // namespace

std::size_t share_count::update(std::size_t nodes, instant now)
{
    if (nodes >= parts_ || now - seen_at_ >= shrink_delay)
    {
        parts_ = nodes;
        seen_at_ = now;
    }
    return parts_;
}

} // namespace bamboohoist
