#include "daemon/note_reader.hpp"

#include "config/recovery_json.hpp"

#include <algorithm>
#include <utility>

namespace bamboohoist {

namespace {

constexpr std::string_view relay_path = "/recovery/relay";
constexpr duration min_delay = std::chrono::milliseconds(250);
constexpr duration max_delay = std::chrono::seconds(2);

/// The notes of a complete list; empty when the store did not reply with one.
std::optional<std::vector<recovery_note>> parse_notes(const store_reply& listed)
{
    // A store may report a prefix without keys as absent.
    if (listed.status_ != store_status::ok && listed.status_ != store_status::absent)
    {
        return std::nullopt;
    }
    std::vector<recovery_note> notes;
    for (const store_entry& entry : listed.entries_)
    {
        if (const auto note = parse_recovery_note(entry.value_))
        {
            notes.push_back(*note);
            continue;
        }
        log_failure("recovery", "note " + entry.key_ + ": " + last_reason().text_);
    }
    return notes;
}

} // namespace

note_reader::note_reader(const control_context& context, store_client& store, control_link& link,
                         membership& members, callback on_read)
    : context_(context), store_(store), link_(link), members_(members),
      on_read_(std::move(on_read)), delay_(min_delay), timer_(context.loop_, [this] { read(); })
{
    link_.add_late_responder(
        relay_path,
        [this](std::string_view, const control_link::callback& reply) { handle_relay(reply); });
}

void note_reader::start()
{
    running_ = true;
    read();
}

void note_reader::stop()
{
    running_ = false;
    timer_.cancel();
}

void note_reader::on_store_regained()
{
    delay_ = min_delay;
    if (running_ && !done_)
    {
        timer_.arm(duration::zero());
    }
}

void note_reader::read()
{
    if (!running_ || done_)
    {
        return;
    }
    timer_.arm(delay_);
    delay_ = std::min(delay_ * 2, max_delay);
    if (std::exchange(asked_before_, true))
    {
        ask_peer();
    }
    store_.list(note_prefix, [this, alive = lifetime_.watch()](const store_reply& reply) {
        const auto notes = alive ? parse_notes(reply) : std::nullopt;
        if (notes)
        {
            finish(*notes, "the store");
        }
        else if (alive && !std::exchange(refused_, true))
        {
            ask_peer();
        }
    });
}

void note_reader::ask_peer()
{
    const member_record* peer = members_.table().random_peer(context_.random_);
    if (peer == nullptr)
    {
        return;
    }
    link_.call(members_.gossip_endpoint(*peer), relay_path, context_.settings_.node_,
               [this, alive = lifetime_.watch()](const std::optional<std::string>& body) {
                   const auto reply = alive && body ? parse_recovery_reply(*body) : std::nullopt;
                   if (reply)
                   {
                       finish(reply->notes_, "the store by a peer");
                   }
               });
}

void note_reader::finish(std::span<const recovery_note> notes, std::string_view source)
{
    if (!std::exchange(done_, true))
    {
        timer_.cancel();
        on_read_(notes, source);
    }
}

void note_reader::handle_relay(const control_link::callback& reply)
{
    store_.list(note_prefix, [reply](const store_reply& listed) {
        const auto notes = parse_notes(listed);
        reply(notes ? std::optional(write_recovery_reply({true, *notes})) : std::nullopt);
    });
}

} // namespace bamboohoist
