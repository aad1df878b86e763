#ifndef BAMBOOHOIST_DAEMON_RECENT_SENDERS_HPP
#define BAMBOOHOIST_DAEMON_RECENT_SENDERS_HPP

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// The nodes that sent requests to one target, the newest last. Bounded: the oldest is dropped.
class recent_senders
{
public:
    void record(std::string_view node)
    {
        if (std::ranges::find(nodes_, node) != nodes_.end())
        {
            return;
        }
        if (nodes_.size() == max_senders)
        {
            nodes_.erase(nodes_.begin());
        }
        nodes_.emplace_back(node);
    }

    const std::vector<std::string>& nodes() const
    {
        return nodes_;
    }

private:
    static constexpr std::size_t max_senders = 32;

    std::vector<std::string> nodes_;
};

} // namespace bamboohoist

#endif
