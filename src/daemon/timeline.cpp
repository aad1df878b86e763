#include "daemon/timeline.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboohoist {

using json = nlohmann::json;

/// One collection until all nodes have answered or timed out.
struct timeline::collection : counted_local<timeline::collection>
{
    merged_events merged_;
    std::size_t left_ = 0;
    callback on_end_;
};

timeline::timeline(const control_context& context, control_link& link, membership& members)
    : context_(context), link_(link), members_(members)
{
    link_.serve("/events", [this](std::string_view body) { return answer(body); });
}

void timeline::collect(hlc_stamp since, std::string_view subject, callback on_end)
{
    const counted_ptr<collection> state(new collection);
    state->merged_.events_ = context_.events_.select(since, subject);
    state->on_end_ = std::move(on_end);
    const auto peers = members_.table().peers();
    state->left_ = peers.size() + 1;
    std::string query;
    json::to_msgpack(json::array({since.wall_ms_, since.logical_, subject}), query);
    for (const member_record* peer : peers)
    {
        link_.call(members_.gossip_of(*peer), "/events", query,
                   [state, node = peer->node_](const std::optional<std::string>& body) {
                       const auto events = body ? decode_events(*body) : std::nullopt;
                       if (events)
                       {
                           auto& merged = state->merged_.events_;
                           merged.insert(merged.end(), events->begin(), events->end());
                       }
                       else
                       {
                           state->merged_.unreachable_.push_back(node);
                       }
                       finish(*state);
                   });
    }
    finish(*state);
}

std::optional<std::string> timeline::answer(std::string_view body)
{
    const json query = json::from_msgpack(body, true, false);
    const bool valid = query.is_array() && query.size() == 3 && query[0].is_number_integer() &&
                       query[1].is_number_integer() && query[2].is_string();
    if (!valid)
    {
        return std::nullopt;
    }
    const hlc_stamp since{query[0].get<std::int64_t>(), query[1].get<std::uint32_t>()};
    return encode_events(context_.events_.select(since, query[2].get<std::string>()));
}

void timeline::finish(collection& state)
{
    if (--state.left_ > 0)
    {
        return;
    }
    std::ranges::stable_sort(state.merged_.events_, {}, &event::at_);
    state.on_end_(std::move(state.merged_));
}

} // namespace bamboohoist
