#include "daemon/note_writer.hpp"

#include "config/recovery_json.hpp"
#include "core/hash.hpp"
#include "loop/run_after.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// How long the store may take to confirm a note. Senders of announcements wait for a second.
constexpr duration save_patience = std::chrono::milliseconds(600);
/// The store usually replies sooner. Without a reply, or after a refusal, peers are asked to write
/// the note as well, which the store may reject too.
constexpr duration relay_period = std::chrono::milliseconds(150);
constexpr std::size_t relaying_peers = 2;
constexpr duration min_write_delay = std::chrono::milliseconds(100);
constexpr duration max_write_delay = std::chrono::seconds(5);
/// Spreads the writes of all nodes after the store was restored from an older copy.
constexpr duration max_rewrite_delay = std::chrono::milliseconds(500);

/// A note has one key, whoever writes it and however often. Its successor has another one, so that
/// the removal of the former one does no harm.
std::string store_key(const recovery_note& note)
{
    return std::string(note_prefix) + note.node_ + "/" +
           std::to_string(hash_parts({key_of(note), std::to_string(note.at_ms_)}));
}

} // namespace

std::vector<const member_record*> near_peers(const member_table& members)
{
    const std::string& domain = members.self().domain_;
    std::vector<const member_record*> peers = members.peers();
    std::erase_if(peers, [&](const member_record* peer) { return peer->domain_ != domain; });
    return peers;
}

note_writer::note_writer(const control_context& context, store_client& store, control_link& link,
                         membership& members, recovery_notes& notes,
                         copy_failed_callback on_copy_failed)
    : context_(context), store_(store), link_(link), members_(members), notes_(notes),
      on_copy_failed_(std::move(on_copy_failed)), write_delay_(min_write_delay),
      write_timer_(context.loop_, [this] { write_unsaved(); }),
      rewrite_timer_(context.loop_, [this] { write_missing(); })
{
    link_.add_late_responder(relay_write_path,
                             [this](std::string_view body, const control_link::callback& reply) {
                                 handle_relay(body, reply);
                             });
}

void note_writer::start()
{
    running_ = true;
}

void note_writer::stop()
{
    running_ = false;
    write_timer_.cancel();
    rewrite_timer_.cancel();
}

void note_writer::save(recovery_note note, saved_callback on_saved)
{
    const std::string key = key_of(note);
    const auto found = unsaved_.find(key);
    unsaved_note& unsaved = found != unsaved_.end() ? found->second : unsaved_[key];
    unsaved.waiters_.push_back(std::move(on_saved));
    run_after(context_.loop_, save_patience, [this, key, alive = lifetime_.watch()] {
        if (alive)
        {
            stop_waiting(key);
        }
    });
    run_after(context_.loop_, relay_period, [this, key, alive = lifetime_.watch()] {
        if (alive)
        {
            begin_relay(key);
        }
    });
    if (found == unsaved_.end())
    {
        unsaved.note_ = std::move(note);
        copy_to_peers(unsaved.note_);
        write(unsaved);
    }
    else if (!unsaved.pending_ && needs_successor(unsaved.note_, context_.clock_.wall_ms()))
    {
        unsaved.note_ = std::move(note);
    }
}

void note_writer::save_again(const recovery_note& note)
{
    unsaved_note& unsaved = unsaved_[key_of(note)];
    unsaved.note_ = note;
    write(unsaved);
}

void note_writer::write_missing()
{
    notes_.visit(context_.clock_.wall_ms(), [this](const recovery_note& note) {
        const std::string key = key_of(note);
        if (note.node_ == context_.settings_.node_ && !notes_.is_stored(key))
        {
            unsaved_[key].note_ = note;
        }
    });
    write_unsaved();
}

void note_writer::on_writes_lost()
{
    notes_.forget_stored(context_.settings_.node_);
    if (running_)
    {
        rewrite_timer_.arm(
            std::chrono::duration_cast<duration>(max_rewrite_delay * context_.random_.uniform()));
    }
}

void note_writer::on_store_regained()
{
    write_delay_ = min_write_delay;
    if (running_ && !unsaved_.empty())
    {
        write_timer_.arm(duration::zero());
    }
}

void note_writer::write_unsaved()
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

void note_writer::write(unsaved_note& unsaved)
{
    if (unsaved.pending_ || !running_)
    {
        return;
    }
    unsaved.pending_ = true;
    context_.metrics_.add(counter::recovery_notes_written);
    store_.write_lasting(
        store_key(unsaved.note_), write_recovery_note(unsaved.note_),
        [this, key = key_of(unsaved.note_), alive = lifetime_.watch()](const store_reply& reply) {
            if (alive)
            {
                on_written(key, reply.status_);
            }
        });
}

void note_writer::on_written(std::string_view key, store_status status)
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
        on_saved(key);
        return;
    }
    begin_relay(key);
    if (running_)
    {
        write_timer_.arm(write_delay_);
        write_delay_ = std::min(write_delay_ * 2, max_write_delay);
    }
}

void note_writer::on_saved(std::string_view key)
{
    notes_.set_stored(key);
    const auto found = unsaved_.find(key);
    if (found != unsaved_.end())
    {
        unsaved_note saved = std::move(found->second);
        unsaved_.erase(found);
        notify(saved, true);
    }
}

void note_writer::begin_relay(std::string_view key)
{
    const auto found = unsaved_.find(key);
    if (found != unsaved_.end() && !found->second.relaying_)
    {
        found->second.relaying_ = true;
        relay(key);
    }
}

void note_writer::relay(std::string_view key)
{
    const auto found = unsaved_.find(key);
    if (found == unsaved_.end())
    {
        return;
    }
    if (!running_ || found->second.waiters_.empty())
    {
        found->second.relaying_ = false;
        return;
    }
    const std::string text = write_recovery_note(found->second.note_);
    std::vector<const member_record*> peers = members_.table().peers();
    for (std::size_t i = 0; i < relaying_peers && !peers.empty(); ++i)
    {
        std::swap(peers[context_.random_.index(peers.size())], peers.back());
        link_.call(members_.gossip_endpoint(*peers.back()), relay_write_path, text,
                   [this, key = std::string(key),
                    alive = lifetime_.watch()](const std::optional<std::string>& reply) {
                       if (alive && reply)
                       {
                           on_saved(key);
                       }
                   });
        peers.pop_back();
    }
    run_after(context_.loop_, relay_period,
              [this, key = std::string(key), alive = lifetime_.watch()] {
                  if (alive)
                  {
                      relay(key);
                  }
              });
}

void note_writer::handle_relay(std::string_view body, const control_link::callback& reply)
{
    const auto note = parse_recovery_note(body);
    if (!note || !running_)
    {
        reply(std::nullopt);
        return;
    }
    store_.write_lasting(
        store_key(*note), write_recovery_note(*note), [reply](const store_reply& written) {
            reply(written.status_ == store_status::ok ? std::optional<std::string>("")
                                                      : std::nullopt);
        });
}

void note_writer::copy_to_peers(const recovery_note& note)
{
    for (const member_record* peer : holders(note))
    {
        link_.call(members_.gossip_endpoint(*peer), keep_path, write_recovery_note(note),
                   [this, node = peer->node_,
                    alive = lifetime_.watch()](const std::optional<std::string>& reply) {
                       if (alive && running_ && !reply)
                       {
                           on_copy_failed_(node);
                       }
                   });
    }
}

std::vector<const member_record*> note_writer::holders(const recovery_note& note) const
{
    // A release voids crashes that all nodes may know.
    return note.kind_ == note_kind::release ? members_.table().peers()
                                            : near_peers(members_.table());
}

void note_writer::stop_waiting(std::string_view key)
{
    const auto found = unsaved_.find(key);
    if (found != unsaved_.end())
    {
        notify(found->second, false);
    }
}

void note_writer::notify(unsaved_note& unsaved, bool saved)
{
    const std::vector<saved_callback> waiters = std::move(unsaved.waiters_);
    unsaved.waiters_.clear();
    for (const saved_callback& on_saved : waiters)
    {
        on_saved(saved);
    }
}

} // namespace bamboohoist
