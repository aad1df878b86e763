#ifndef BAMBOOHOIST_DAEMON_NOTE_WRITER_HPP
#define BAMBOOHOIST_DAEMON_NOTE_WRITER_HPP

#include "daemon/membership.hpp"
#include "policy/recovery_notes.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bamboohoist {

/// The path at which a node takes the copy of a note.
inline constexpr std::string_view keep_path = "/recovery/keep";
/// The path at which a node writes a note to the store for a peer.
inline constexpr std::string_view relay_write_path = "/recovery/write";

/// The peers of the own failure domain.
std::vector<const member_record*> near_peers(const member_table& members);

/// Saves this node's notes in the store and as copies at peers. A note counts as saved once the
/// store holds it, because all processes may end at the same moment. It has no lease, because
/// leases may end while the store is down; `note_sweeper` removes it. A peer writes it for a node
/// that the store rejects.
class note_writer
{
public:
    using saved_callback = std::function<void(bool saved)>;
    /// Gets a peer that has not taken the copy of a note.
    using copy_failed_callback = std::function<void(std::string_view node)>;

    /// `notes` are all that this node knows; which of them the store holds is recorded there.
    note_writer(const control_context& context, store_client& store, control_link& link,
                membership& members, recovery_notes& notes, copy_failed_callback on_copy_failed);

    void start();
    void stop();

    /// Saves a note. The callback runs once: with true when the note will survive this process,
    /// with false when that is not certain in time.
    void save(recovery_note note, saved_callback on_saved);

    /// Writes a note to the store again.
    void save_again(const recovery_note& note);

    /// Writes those of this node's notes that the store is not known to hold.
    void write_missing();

    /// The store was restored from an older copy: all own notes are written again.
    void on_writes_lost();

    void on_store_regained();

private:
    /// A note that the store has not confirmed yet.
    struct unsaved_note
    {
        recovery_note note_;
        std::vector<saved_callback> waiters_;
        bool pending_ = false;  ///< A write is under way.
        bool relaying_ = false; ///< Peers are asked to write it.
    };

    void write_unsaved();
    void write(unsaved_note& unsaved);
    void on_written(std::string_view key, store_status status);
    /// Has peers write a note that the store does not confirm to this node, two at a time, for as
    /// long as somebody waits for it.
    void begin_relay(std::string_view key);
    void relay(std::string_view key);
    void handle_relay(std::string_view body, const control_link::callback& reply);
    void on_saved(std::string_view key);
    void copy_to_peers(const recovery_note& note);
    /// The peers that keep a copy of a note.
    std::vector<const member_record*> holders(const recovery_note& note) const;
    /// Answers those who wait for a note that the store does not confirm in time.
    void stop_waiting(std::string_view key);
    static void notify(unsaved_note& unsaved, bool saved);

    const control_context& context_;
    store_client& store_;
    control_link& link_;
    membership& members_;
    recovery_notes& notes_;
    copy_failed_callback on_copy_failed_;
    std::map<std::string, unsaved_note, std::less<>> unsaved_; ///< By `key_of()`.
    duration write_delay_;
    timer write_timer_;
    timer rewrite_timer_;
    bool running_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
