#include "core/event_log.hpp"

#include <algorithm>

namespace bamboohoist {

hybrid_logical_clock::hybrid_logical_clock(const clock_source& source) : source_(source) {}

hlc_timestamp hybrid_logical_clock::tick()
{
    const std::int64_t wall = source_.wall_ms();
    if (wall > last_.wall_ms_)
    {
        last_ = hlc_timestamp{wall, 0};
    }
    else
    {
        ++last_.logical_;
    }
    return last_;
}

void hybrid_logical_clock::observe(hlc_timestamp remote)
{
    last_ = std::max(last_, remote);
}

event_log::event_log(hybrid_logical_clock& clock, std::string node, std::size_t capacity)
    : clock_(clock), node_(std::move(node)), capacity_(capacity)
{
}

const event& event_log::record(event entry)
{
    entry.at_ = clock_.tick();
    entry.node_ = node_;
    if (events_.size() == capacity_)
    {
        events_.pop_front();
    }
    return events_.emplace_back(std::move(entry));
}

std::vector<event> event_log::select(hlc_timestamp since, std::string_view subject) const
{
    std::vector<event> selected;
    std::ranges::copy_if(events_, std::back_inserter(selected), [&](const event& entry) {
        return entry.at_ > since && entry.subject_.find(subject) != std::string::npos;
    });
    return selected;
}

} // namespace bamboohoist
