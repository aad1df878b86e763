#include "daemon/recovery.hpp"

#include "config/recovery_json.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr std::string_view read_path = "/recovery/read";
constexpr std::size_t notes_capacity = 4096;
/// How long the store, or a peer that reads it, may take before the copies of peers are enough: one
/// that got lost on its way is missing there. Announcements are held for longer.
constexpr duration store_patience = std::chrono::milliseconds(600);
constexpr duration ask_period = std::chrono::milliseconds(250);
/// Peers that are asked at a time. More than one, because a peer may itself have just started.
constexpr std::size_t peers_asked = 2;
/// The store may have been read while it was at an older copy, so peers are asked for five seconds
/// more, until one has replied.
constexpr std::size_t max_late_asks = 20;
/// After a copy got lost on its way to a peer.
constexpr duration hand_over_delay = std::chrono::milliseconds(500);
/// How often the fleet looks for notes in the store that no longer matter.
constexpr duration sweep_period = std::chrono::minutes(10);

} // namespace

recovery::recovery(const control_context& context, store_client& store, control_link& link,
                   membership& members, recovery_listener& listener)
    : context_(context), link_(link), members_(members), listener_(listener),
      notes_(notes_capacity), writer_(context, store, link, members, notes_,
                                      [this](std::string_view node) { hand_over_again(node); }),
      reader_(context, store, link, members,
              [this](std::span<const recovery_note> notes, std::string_view source) {
                  on_store_read(notes, source);
              }),
      sweeper_(context, store, members, sweep_period),
      ask_timer_(context.loop_, [this] { ask_peers(); }),
      patience_timer_(context.loop_, [this] { peers_suffice_ = true; }),
      hand_over_timer_(context.loop_, [this] { hand_over_departures(); })
{
    link_.add_responder(read_path, [this](std::string_view node) { return handle_read(node); });
    link_.add_responder(keep_path, [this](std::string_view body) { return handle_keep(body); });
}

std::string_view recovery::name() const
{
    return "recovery";
}

bool recovery::start()
{
    running_ = true;
    writer_.start();
    reader_.start();
    sweeper_.start();
    patience_timer_.arm(store_patience);
    return true;
}

void recovery::stop()
{
    running_ = false;
    writer_.stop();
    reader_.stop();
    sweeper_.stop();
    ask_timer_.cancel();
    patience_timer_.cancel();
    hand_over_timer_.cancel();
}

bool recovery::complete() const
{
    return complete_;
}

void recovery::record_departure(const departed_instance& departed, saved_callback on_saved)
{
    save(make_departure(departed), std::move(on_saved));
}

void recovery::record_end(const ended_target& ended, saved_callback on_saved)
{
    departed_instance leaving = ended.departed_;
    leaving.ended_ = false;
    if (ended.was_leaving_ &&
        notes_.is_settled(key_of(make_departure(leaving)), context_.clock_.wall_ms()))
    {
        // What is known of its leaving rules out late announcements of its readiness as well.
        on_saved(true);
        return;
    }
    record_departure(ended.departed_, std::move(on_saved));
}

recovery_note recovery::make_departure(const departed_instance& departed) const
{
    recovery_note note = make_note(note_kind::departure, departed.instance_);
    note.started_ms_ = departed.started_ms_;
    note.sequence_ = departed.sequence_;
    note.ended_ = departed.ended_;
    note.latest_start_ms_ = departed.latest_start_ms_;
    return note;
}

void recovery::record_crash(std::string_view crash_id, std::span<const std::uint64_t> suspects)
{
    if (suspects.empty())
    {
        return;
    }
    recovery_note note = make_note(note_kind::crash, crash_id);
    note.fingerprints_.assign(suspects.begin(), suspects.end());
    save(std::move(note), [](bool) {});
}

void recovery::record_release(std::uint64_t fingerprint)
{
    recovery_note note = make_note(note_kind::release, "");
    note.fingerprints_.push_back(fingerprint);
    save(std::move(note), [](bool) {});
}

void recovery::learn_crash(std::string_view node, std::string_view crash_id,
                           std::span<const std::uint64_t> suspects)
{
    recovery_note note = make_note(note_kind::crash, crash_id);
    note.node_ = std::string(node);
    note.fingerprints_.assign(suspects.begin(), suspects.end());
    learn(note, note_source::peer);
}

void recovery::on_members_changed()
{
    hand_over_departures();
    if (running_ && !asked_peers_ && !members_.table().peers().empty())
    {
        asked_peers_ = true;
        ask_peers();
    }
}

void recovery::on_store_regained()
{
    writer_.on_store_regained();
    reader_.on_store_regained();
}

void recovery::on_writes_lost()
{
    writer_.on_writes_lost();
    return_notes();
}

void recovery::return_notes()
{
    if (!running_)
    {
        return;
    }
    const std::vector<const member_record*> peers = near_peers(members_.table());
    notes_.visit(context_.clock_.wall_ms(), [&](const recovery_note& note) {
        const auto owner = std::ranges::find(peers, note.node_, &member_record::node_);
        if (owner == peers.end())
        {
            return;
        }
        std::vector<std::string_view> others;
        for (const member_record* peer : peers)
        {
            if (peer != *owner)
            {
                others.emplace_back(peer->node_);
            }
        }
        if (returns_note(context_.settings_.node_, others, key_of(note)))
        {
            link_.call(members_.gossip_endpoint(**owner), keep_path, write_recovery_note(note),
                       [](const std::optional<std::string>&) {});
        }
    });
}

recovery_note recovery::make_note(note_kind kind, std::string_view subject) const
{
    recovery_note note;
    note.kind_ = kind;
    note.node_ = context_.settings_.node_;
    note.at_ms_ = context_.clock_.wall_ms();
    note.subject_ = std::string(subject);
    return note;
}

void recovery::save(recovery_note note, saved_callback on_saved)
{
    const std::int64_t now_ms = context_.clock_.wall_ms();
    notes_.add(note, now_ms);
    if (notes_.is_settled(key_of(note), now_ms))
    {
        on_saved(true);
        return;
    }
    writer_.save(std::move(note), std::move(on_saved));
}

void recovery::on_store_read(std::span<const recovery_note> notes, std::string_view source)
{
    for (const recovery_note& note : notes)
    {
        learn(note, note_source::store);
    }
    store_read_ = true;
    set_complete(source);
    // What peers had brought back before.
    writer_.write_missing();
}

void recovery::ask_peers()
{
    if (!running_ || peer_replied_)
    {
        return;
    }
    std::vector<const member_record*> peers = near_peers(members_.table());
    const bool near = !peers.empty();
    if (!near && !far_replied_)
    {
        peers = members_.table().peers();
    }
    for (std::size_t i = 0; i < peers_asked && !peers.empty(); ++i)
    {
        const std::size_t chosen = context_.random_.index(peers.size());
        link_.call(members_.gossip_endpoint(*peers[chosen]), read_path, context_.settings_.node_,
                   [this, near, alive = lifetime_.watch()](const std::optional<std::string>& body) {
                       if (alive)
                       {
                           on_peer_reply(body, near);
                       }
                   });
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    if (!complete_ || late_asks_++ < max_late_asks)
    {
        ask_timer_.arm(ask_period);
    }
}

void recovery::on_peer_reply(const std::optional<std::string>& body, bool near)
{
    const auto reply = body ? parse_recovery_reply(*body) : std::nullopt;
    if (!reply)
    {
        return;
    }
    for (const recovery_note& note : reply->notes_)
    {
        learn(note, note_source::peer);
    }
    if (!reply->complete_)
    {
        return;
    }
    if (!near)
    {
        // It has no copies of departures.
        far_replied_ = true;
        return;
    }
    if (!complete_ && !peers_suffice_)
    {
        // It is asked again.
        return;
    }
    peer_replied_ = true;
    ask_timer_.cancel();
    set_complete("a peer of the failure domain");
}

void recovery::set_complete(std::string_view source)
{
    if (complete_)
    {
        return;
    }
    complete_ = true;
    event entry;
    entry.subject_ = context_.settings_.node_;
    entry.what_ = "recovered";
    entry.rule_ = "recovery: notes from before the start were read from " + std::string(source);
    entry.evidence_ = std::to_string(notes_.size()) + " notes";
    context_.record(std::move(entry));
    listener_.on_recovered();
}

void recovery::learn(const recovery_note& note, note_source source)
{
    const bool added = notes_.add(note, context_.clock_.wall_ms());
    if (source == note_source::store)
    {
        notes_.set_stored(key_of(note));
    }
    if (!added)
    {
        return;
    }
    context_.metrics_.add(counter::recovery_notes_learned);
    apply(note);
    if (source == note_source::peer && store_read_ && note.node_ == context_.settings_.node_)
    {
        // The store does not have it.
        writer_.save_again(note);
    }
}

void recovery::apply(const recovery_note& note)
{
    switch (note.kind_)
    {
    case note_kind::departure:
        if (note.node_ == context_.settings_.node_)
        {
            listener_.on_departure_recovered(note);
        }
        break;
    case note_kind::crash:
        listener_.on_crash_recovered(note.subject_, notes_.suspects(note));
        break;
    case note_kind::release:
        for (const std::uint64_t fingerprint : note.fingerprints_)
        {
            listener_.on_release_recovered(fingerprint);
        }
        break;
    }
}

std::optional<std::string> recovery::handle_read(std::string_view node) const
{
    recovery_reply reply;
    reply.complete_ = complete_;
    notes_.visit(context_.clock_.wall_ms(), [&](const recovery_note& note) {
        // The asking node is asked by others of the domain later, so it needs all of their
        // departures.
        if (note.kind_ != note_kind::departure || note.node_ == node || is_near(note.node_))
        {
            reply.notes_.push_back(note);
        }
    });
    return write_recovery_reply(reply);
}

bool recovery::is_near(std::string_view node) const
{
    const member_record* member = members_.table().find(node);
    return member != nullptr && member->domain_ == members_.table().self().domain_;
}

void recovery::hand_over_departures()
{
    std::map<std::string, std::uint64_t, std::less<>> present;
    for (const member_record* peer : near_peers(members_.table()))
    {
        present[peer->node_] = peer->incarnation_;
        const auto known = handed_over_.find(peer->node_);
        if (known != handed_over_.end() && known->second == peer->incarnation_)
        {
            continue;
        }
        notes_.visit(context_.clock_.wall_ms(), [&](const recovery_note& note) {
            if (note.kind_ == note_kind::departure && note.node_ == context_.settings_.node_)
            {
                link_.call(members_.gossip_endpoint(*peer), keep_path, write_recovery_note(note),
                           [this, node = peer->node_,
                            alive = lifetime_.watch()](const std::optional<std::string>& reply) {
                               if (alive && running_ && !reply)
                               {
                                   hand_over_again(node);
                               }
                           });
            }
        });
    }
    handed_over_ = std::move(present);
}

void recovery::hand_over_again(std::string_view node)
{
    const auto known = handed_over_.find(node);
    if (known != handed_over_.end())
    {
        handed_over_.erase(known);
        hand_over_timer_.arm(hand_over_delay);
    }
}

std::optional<std::string> recovery::handle_keep(std::string_view body)
{
    const auto note = parse_recovery_note(body);
    if (!note)
    {
        log_failure("recovery", "a peer's note: " + last_reason().text_);
        return std::nullopt;
    }
    learn(*note, note_source::peer);
    return std::string();
}

} // namespace bamboohoist
