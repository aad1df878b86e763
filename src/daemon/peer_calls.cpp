#include "daemon/peer_calls.hpp"

#include "core/ref_counted.hpp"

namespace bamboohoist {

namespace {

/// One round of calls, until all nodes have replied or timed out.
struct call_round : ref_counted_local<call_round>
{
    std::size_t pending_ = 0;
    peer_reply_callback on_reply_;
    std::function<void()> on_end_;
};

} // namespace

void call_all_peers(control_link& link, const membership& members, std::string_view path,
                    std::string_view body, peer_reply_callback on_reply,
                    std::function<void()> on_end)
{
    const auto peers = members.table().peers();
    if (peers.empty())
    {
        on_end();
        return;
    }
    const ref_ptr<call_round> round(new call_round);
    round->pending_ = peers.size();
    round->on_reply_ = std::move(on_reply);
    round->on_end_ = std::move(on_end);
    for (const member_record* peer : peers)
    {
        link.call(members.gossip_endpoint(*peer), path, std::string(body),
                  [round, node = peer->node_](const std::optional<std::string>& reply) {
                      round->on_reply_(node, reply);
                      if (--round->pending_ == 0)
                      {
                          round->on_end_();
                      }
                  });
    }
}

} // namespace bamboohoist
