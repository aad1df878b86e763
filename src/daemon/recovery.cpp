#include "daemon/recovery.hpp"

#include "config/recovery_json.hpp"
#include "core/hash.hpp"
#include "loop/run_after.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr std::string_view note_prefix = "bamboohoist/recovery/";
constexpr std::string_view read_path = "/recovery/read";
constexpr std::string_view keep_path = "/recovery/keep";
constexpr std::size_t notes_capacity = 4096;
/// How long the store may take to confirm a note before a peer's copy has to be enough.
constexpr duration save_patience = std::chrono::milliseconds(600);
constexpr duration min_write_delay = std::chrono::milliseconds(100);
constexpr duration max_write_delay = std::chrono::seconds(5);
constexpr duration min_read_delay = std::chrono::milliseconds(250);
constexpr duration max_read_delay = std::chrono::seconds(2);
constexpr duration ask_period = std::chrono::milliseconds(250);
/// Peers that are asked at a time. More than one, because a peer may itself have just started.
constexpr std::size_t peers_asked = 2;

/// The keys of two sessions differ, because the former one still holds its keys for a while.
std::string store_key(const recovery_note& note, std::string_view session)
{
    return std::string(note_prefix) + note.node_ + "/" +
           std::to_string(hash_parts({session, key_of(note)}));
}

} // namespace

recovery::recovery(const control_context& context, store_client& store, control_link& link,
                   membership& members, directory& entries, recovery_listener& listener)
    : context_(context), store_(store), link_(link), members_(members), directory_(entries),
      listener_(listener), notes_(notes_capacity), write_delay_(min_write_delay),
      read_delay_(min_read_delay), write_timer_(context.loop_, [this] { write_unsaved(); }),
      read_timer_(context.loop_, [this] { read_store(); }),
      ask_timer_(context.loop_, [this] { ask_peers(); })
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
    read_store();
    return true;
}

void recovery::stop()
{
    running_ = false;
    write_timer_.cancel();
    read_timer_.cancel();
    ask_timer_.cancel();
}

bool recovery::complete() const
{
    return complete_;
}

void recovery::record_departure(const local_target& target, bool ended, saved_callback on_saved)
{
    recovery_note note = make_note(note_kind::departure, target.instance_);
    note.started_ms_ = target.started_ms_;
    note.sequence_ = target.sequence_;
    const std::string leaving_key = key_of(note);
    const bool noted = notes_.contains(leaving_key) && !unsaved_.contains(leaving_key);
    if (ended && target.leaving_ && noted)
    {
        // What is known of its leaving rules out late announcements of its readiness as well.
        on_saved(true);
        return;
    }
    note.ended_ = ended;
    save(std::move(note), std::move(on_saved));
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
    if (running_ && !asked_peers_ && !members_.table().peers().empty())
    {
        asked_peers_ = true;
        ask_peers();
    }
}

void recovery::on_store_regained()
{
    write_delay_ = min_write_delay;
    read_delay_ = min_read_delay;
    if (running_ && !unsaved_.empty())
    {
        write_timer_.arm(duration::zero());
    }
    if (running_ && !complete_)
    {
        read_timer_.arm(duration::zero());
    }
}

void recovery::on_session_opened()
{
    if (complete_)
    {
        renew_notes();
    }
}

void recovery::renew_notes()
{
    if (directory_.session().empty() || directory_.session() == notes_session_)
    {
        return;
    }
    notes_session_ = directory_.session();
    notes_.visit(context_.clock_.wall_ms(), [this](const recovery_note& note) {
        if (note.node_ == context_.settings_.node_)
        {
            unsaved_[key_of(note)].note_ = note;
        }
    });
    write_unsaved();
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
    const std::string key = key_of(note);
    const bool added = notes_.add(note, context_.clock_.wall_ms());
    const auto found = unsaved_.find(key);
    if (!added && found == unsaved_.end())
    {
        on_saved(true);
        return;
    }
    unsaved_note& unsaved = found != unsaved_.end() ? found->second : unsaved_[key];
    unsaved.waiters_.push_back(std::move(on_saved));
    run_after(context_.loop_, save_patience, [this, key, alive = lifetime_.watch()] {
        if (alive)
        {
            stop_waiting(key);
        }
    });
    if (found == unsaved_.end())
    {
        unsaved.note_ = std::move(note);
        copy_to_peers(unsaved.note_);
        write(unsaved);
    }
}

void recovery::write_unsaved()
{
    std::erase_if(unsaved_, [now_ms = context_.clock_.wall_ms()](const auto& pair) {
        return pair.second.waiters_.empty() && !pair.second.pending_ &&
               has_expired(pair.second.note_, now_ms);
    });
    for (auto& [key, unsaved] : unsaved_)
    {
        write(unsaved);
    }
}

void recovery::write(unsaved_note& unsaved)
{
    const std::string_view session = directory_.session();
    if (unsaved.pending_ || !running_ || session.empty())
    {
        return;
    }
    unsaved.pending_ = true;
    context_.metrics_.add(counter::recovery_notes_written);
    store_.write_leased(
        store_key(unsaved.note_, session), write_recovery_note(unsaved.note_), session,
        [this, key = key_of(unsaved.note_), alive = lifetime_.watch()](const store_reply& reply) {
            if (alive)
            {
                on_written(key, reply.status_);
            }
        });
}

void recovery::on_written(std::string_view key, store_status status)
{
    const auto found = unsaved_.find(key);
    if (found == unsaved_.end())
    {
        return;
    }
    found->second.pending_ = false;
    if (status == store_status::ok)
    {
        write_delay_ = min_write_delay;
        unsaved_note saved = std::move(found->second);
        unsaved_.erase(found);
        notify(saved, true);
        return;
    }
    found->second.failed_ = true;
    if (found->second.copied_)
    {
        notify(found->second, true);
    }
    if (status == store_status::absent)
    {
        // The lease has ended; the directory opens a new one.
        directory_.check_entry();
    }
    if (running_)
    {
        write_timer_.arm(write_delay_);
        write_delay_ = std::min(write_delay_ * 2, max_write_delay);
    }
}

void recovery::copy_to_peers(const recovery_note& note)
{
    for (const member_record* peer : keepers(note))
    {
        link_.call(members_.gossip_endpoint(*peer), keep_path, write_recovery_note(note),
                   [this, key = key_of(note),
                    alive = lifetime_.watch()](const std::optional<std::string>& reply) {
                       if (alive && reply)
                       {
                           on_copied(key);
                       }
                   });
    }
}

void recovery::on_copied(std::string_view key)
{
    const auto found = unsaved_.find(key);
    if (found != unsaved_.end())
    {
        found->second.copied_ = true;
        if (found->second.failed_)
        {
            notify(found->second, true);
        }
    }
}

void recovery::stop_waiting(std::string_view key)
{
    const auto found = unsaved_.find(key);
    if (found != unsaved_.end())
    {
        notify(found->second, found->second.copied_);
    }
}

void recovery::notify(unsaved_note& unsaved, bool saved)
{
    const std::vector<saved_callback> waiters = std::move(unsaved.waiters_);
    unsaved.waiters_.clear();
    for (const saved_callback& on_saved : waiters)
    {
        on_saved(saved);
    }
}

void recovery::read_store()
{
    if (!running_ || complete_)
    {
        return;
    }
    read_timer_.arm(read_delay_);
    read_delay_ = std::min(read_delay_ * 2, max_read_delay);
    store_.list(note_prefix, [this, alive = lifetime_.watch()](const store_reply& reply) {
        // A store may report a prefix without keys as absent.
        const bool read =
            reply.status_ == store_status::ok || reply.status_ == store_status::absent;
        if (!alive || !read)
        {
            return;
        }
        for (const store_entry& entry : reply.entries_)
        {
            const auto note = parse_recovery_note(entry.value_);
            if (!note)
            {
                log_failure("recovery", "note " + entry.key_ + ": " + last_reason().text_);
                continue;
            }
            learn(*note, note_source::store);
        }
        set_complete("the store");
    });
}

void recovery::ask_peers()
{
    std::vector<const member_record*> peers = near_peers();
    if (peers.empty())
    {
        peers = members_.table().peers();
    }
    for (std::size_t i = 0; i < peers_asked && !peers.empty(); ++i)
    {
        const std::size_t chosen = context_.random_.index(peers.size());
        link_.call(members_.gossip_endpoint(*peers[chosen]), read_path, context_.settings_.node_,
                   [this, alive = lifetime_.watch()](const std::optional<std::string>& body) {
                       if (alive)
                       {
                           on_peer_reply(body);
                       }
                   });
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    if (running_ && !complete_)
    {
        ask_timer_.arm(ask_period);
    }
}

void recovery::on_peer_reply(const std::optional<std::string>& body)
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
    if (reply->complete_)
    {
        set_complete("a peer");
    }
}

void recovery::set_complete(std::string_view source)
{
    if (complete_)
    {
        return;
    }
    complete_ = true;
    read_timer_.cancel();
    ask_timer_.cancel();
    event entry;
    entry.subject_ = context_.settings_.node_;
    entry.what_ = "recovered";
    entry.rule_ = "recovery: notes from before the start were read from " + std::string(source);
    entry.evidence_ = std::to_string(notes_.size()) + " notes";
    context_.record(std::move(entry));
    listener_.on_recovered();
    renew_notes();
}

void recovery::learn(const recovery_note& note, note_source source)
{
    if (!notes_.add(note, context_.clock_.wall_ms()))
    {
        return;
    }
    context_.metrics_.add(counter::recovery_notes_learned);
    apply(note);
    if (complete_ && note.node_ == context_.settings_.node_)
    {
        save_again(note, source);
    }
}

void recovery::save_again(const recovery_note& note, note_source source)
{
    unsaved_note& unsaved = unsaved_[key_of(note)];
    unsaved.note_ = note;
    unsaved.copied_ = source == note_source::peer;
    write(unsaved);
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

std::vector<const member_record*> recovery::near_peers() const
{
    const std::string& domain = members_.table().self().domain_;
    std::vector<const member_record*> peers = members_.table().peers();
    std::erase_if(peers, [&](const member_record* peer) { return peer->domain_ != domain; });
    return peers;
}

std::vector<const member_record*> recovery::keepers(const recovery_note& note) const
{
    // A release voids crashes that all nodes may know.
    return note.kind_ == note_kind::release ? members_.table().peers() : near_peers();
}

std::optional<std::string> recovery::handle_read(std::string_view node) const
{
    recovery_reply reply;
    reply.complete_ = complete_;
    notes_.visit(context_.clock_.wall_ms(), [&](const recovery_note& note) {
        if (note.kind_ != note_kind::departure || note.node_ == node)
        {
            reply.notes_.push_back(note);
        }
    });
    return write_recovery_reply(reply);
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
