#include "daemon/quarantine_release.hpp"

#include <charconv>

namespace bamboohoist {

namespace {

constexpr std::string_view link_path = "/release";

} // namespace

/// One release until all nodes have answered or timed out.
struct quarantine_release::round : counted_local<quarantine_release::round>
{
    release_result result_;
    std::size_t left_ = 0;
    callback on_end_;
};

quarantine_release::quarantine_release(const control_context& context, control_link& link,
                                       membership& members, local_release release_here)
    : context_(context), link_(link), members_(members), release_here_(std::move(release_here))
{
    link_.serve(link_path, [this](std::string_view body) { return answer(body); });
}

void quarantine_release::order(std::uint64_t fingerprint, const day_note& note, callback on_end)
{
    const std::string text = std::to_string(fingerprint);
    event entry;
    entry.subject_ = "request-like " + text;
    entry.what_ = "released";
    entry.rule_ = "operator's release";
    entry.note_ = note.who_ + ": " + note.why_;
    context_.record(std::move(entry));
    release_here_(fingerprint);

    const counted_ptr<round> state(new round);
    state->result_.nodes_ = 1;
    state->on_end_ = std::move(on_end);
    const auto peers = members_.table().peers();
    state->left_ = peers.size() + 1;
    for (const member_record* peer : peers)
    {
        link_.call(members_.gossip_of(*peer), link_path, text,
                   [state, node = peer->node_](const std::optional<std::string>& body) {
                       if (body)
                       {
                           ++state->result_.nodes_;
                       }
                       else
                       {
                           state->result_.unreachable_.push_back(node);
                       }
                       finish(*state);
                   });
    }
    finish(*state);
}

std::optional<std::string> quarantine_release::answer(std::string_view body)
{
    std::uint64_t fingerprint = 0;
    const auto parsed = std::from_chars(body.data(), body.data() + body.size(), fingerprint);
    if (parsed.ec != std::errc{} || parsed.ptr != body.data() + body.size())
    {
        return std::nullopt;
    }
    release_here_(fingerprint);
    return std::string(body);
}

void quarantine_release::finish(round& state)
{
    if (--state.left_ == 0)
    {
        state.on_end_(state.result_);
    }
}

} // namespace bamboohoist
