#include "daemon/timeline_collector.hpp"

#include "daemon/peer_calls.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboohoist {

using json = nlohmann::json;

/// The events that have been collected so far.
struct timeline_collector::collection : ref_counted_local<timeline_collector::collection>
{
    merged_events merged_;
};

timeline_collector::timeline_collector(const control_context& context, control_link& link,
                                       membership& members)
    : context_(context), link_(link), members_(members)
{
    link_.add_responder("/events", [this](std::string_view body) { return handle_request(body); });
}

void timeline_collector::collect(hlc_timestamp since, std::string_view subject, callback on_end)
{
    const ref_ptr<collection> state(new collection);
    state->merged_.events_ = context_.events_.select(since, subject);
    std::string query;
    json::to_msgpack(json::array({since.wall_ms_, since.logical_, subject}), query);
    call_all_peers(
        link_, members_, "/events", query,
        [state](std::string_view node, const std::optional<std::string>& body) {
            const auto events = body ? decode_events(*body) : std::nullopt;
            auto& merged = state->merged_;
            if (events)
            {
                merged.events_.insert(merged.events_.end(), events->begin(), events->end());
            }
            else
            {
                merged.unreachable_.emplace_back(node);
            }
        },
        [state, on_end = std::move(on_end)] {
            std::ranges::stable_sort(state->merged_.events_, {}, &event::at_);
            on_end(std::move(state->merged_));
        });
}

std::optional<std::string> timeline_collector::handle_request(std::string_view body)
{
    const json query = json::from_msgpack(body, true, false);
    const bool valid = query.is_array() && query.size() == 3 && query[0].is_number_integer() &&
                       query[1].is_number_integer() && query[2].is_string();
    if (!valid)
    {
        return std::nullopt;
    }
    const hlc_timestamp since{query[0].get<std::int64_t>(), query[1].get<std::uint32_t>()};
    return encode_events(context_.events_.select(since, query[2].get<std::string>()));
}

} // namespace bamboohoist
