#include "daemon/quarantine_releaser.hpp"

#include "daemon/peer_calls.hpp"

#include <charconv>

namespace bamboohoist {

namespace {

constexpr std::string_view link_path = "/release";

} // namespace

/// The replies that have arrived so far.
struct quarantine_releaser::round : ref_counted_local<quarantine_releaser::round>
{
    release_result result_;
};

quarantine_releaser::quarantine_releaser(const control_context& context, control_link& link,
                                         membership& members, local_release release_locally)
    : context_(context), link_(link), members_(members),
      release_locally_(std::move(release_locally))
{
    link_.add_responder(link_path, [this](std::string_view body) { return handle_call(body); });
}

void quarantine_releaser::release(std::uint64_t fingerprint, const day_note& note, callback on_end)
{
    const std::string text = std::to_string(fingerprint);
    event entry;
    entry.subject_ = "request-like " + text;
    entry.what_ = "released";
    entry.rule_ = "operator's release";
    entry.note_ = note.who_ + ": " + note.why_;
    context_.record(std::move(entry));
    release_locally_(fingerprint, release_origin::here);

    const ref_ptr<round> round_state(new round);
    round_state->result_.nodes_ = 1;
    call_all_peers(
        link_, members_, link_path, text,
        [round_state](std::string_view node, const std::optional<std::string>& body) {
            if (body)
            {
                ++round_state->result_.nodes_;
            }
            else
            {
                round_state->result_.unreachable_.emplace_back(node);
            }
        },
        [round_state, on_end = std::move(on_end)] { on_end(round_state->result_); });
}

std::optional<std::string> quarantine_releaser::handle_call(std::string_view body)
{
    std::uint64_t fingerprint = 0;
    const auto parsed = std::from_chars(body.data(), body.data() + body.size(), fingerprint);
    if (parsed.ec != std::errc{} || parsed.ptr != body.data() + body.size())
    {
        return std::nullopt;
    }
    release_locally_(fingerprint, release_origin::at_another_node);
    return std::string(body);
}

} // namespace bamboohoist
