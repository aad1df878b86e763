#ifndef BAMBOOHOIST_DAEMON_RECOVERY_HPP
#define BAMBOOHOIST_DAEMON_RECOVERY_HPP

#include "daemon/note_reader.hpp"
#include "daemon/note_sweeper.hpp"
#include "daemon/note_writer.hpp"
#include "policy/local_target.hpp"

#include <map>
#include <string>
#include <vector>

namespace bamboohoist {

/// Receives what recovery notes say about this node's targets and about requests.
class recovery_listener
{
public:
    virtual ~recovery_listener() = default;

    /// A target of this node had left before.
    virtual void on_departure_recovered(const recovery_note& departure) = 0;

    /// A target had crashed while it ran these requests.
    virtual void on_crash_recovered(std::string_view crash_id,
                                    std::span<const std::uint64_t> suspects) = 0;

    /// An operator had released a request.
    virtual void on_release_recovered(std::uint64_t fingerprint) = 0;

    /// This node now knows what was known before its start. Runs once, after the calls above.
    virtual void on_recovered() = 0;
};

/// Keeps what this node knows and its successor after a restart needs: each such fact is a note in
/// the store, and a copy at the peers of its failure domain. After a start it reads the notes back.
/// Complete are the store's answer, which a peer may have read for a node that the store rejects,
/// and that of a recovered peer of the failure domain, as only these get copies of departures.
class recovery : public child
{
public:
    using saved_callback = note_writer::saved_callback;

    recovery(const control_context& context, store_client& store, control_link& link,
             membership& members, recovery_listener& listener);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// True once this node knows what was known before its start.
    bool complete() const;

    /// Notes that a target of this node leaves or has ended. The callback runs once: with true when
    /// the note will survive this process, with false when that is not certain in time.
    void record_departure(const departed_instance& departed, saved_callback on_saved);

    /// The same for a target that has announced its end and may have been leaving before.
    void record_end(const ended_target& ended, saved_callback on_saved);

    /// Notes that a target of this node crashed while it ran these requests.
    void record_crash(std::string_view crash_id, std::span<const std::uint64_t> suspects);

    /// Notes that an operator released a request at this node. All nodes get a copy of the note.
    void record_release(std::uint64_t fingerprint);

    /// Remembers, without a note in the store, that a target of another node, `node`, crashed.
    void learn_crash(std::string_view node, std::string_view crash_id,
                     std::span<const std::uint64_t> suspects);

    void on_members_changed();
    void on_store_regained();

    /// The store was restored from an older copy. This node's notes are written again; copies of
    /// other nodes' notes are sent back to them, which may have restarted and read the older copy.
    void on_writes_lost();

private:
    /// Where a note comes from that this node learns.
    enum class note_source : std::uint8_t
    {
        store,
        peer,
    };

    recovery_note make_note(note_kind kind, std::string_view subject) const;
    recovery_note make_departure(const departed_instance& departed) const;
    void save(recovery_note note, saved_callback on_saved);

    void on_store_read(std::span<const recovery_note> notes, std::string_view source);
    void ask_peers();
    /// `near`: the peer belongs to this node's failure domain.
    void on_peer_reply(const std::optional<std::string>& body, bool near);
    /// Sends this node's departures to peers of its domain that have started since it last looked,
    /// or have not taken a copy.
    void hand_over_departures();
    void hand_over_again(std::string_view node);
    bool is_near(std::string_view node) const;
    void set_complete(std::string_view source);
    void return_notes();
    void learn(const recovery_note& note, note_source source);
    void apply(const recovery_note& note);
    std::optional<std::string> handle_read(std::string_view node) const;
    std::optional<std::string> handle_keep(std::string_view body);

    const control_context& context_;
    control_link& link_;
    membership& members_;
    recovery_listener& listener_;
    recovery_notes notes_;
    note_writer writer_;
    note_reader reader_;
    note_sweeper sweeper_;
    timer ask_timer_;
    timer patience_timer_;
    bool peers_suffice_ = false; ///< The store has had time to answer.
    bool complete_ = false;
    bool store_read_ = false; ///< What the store holds is known.
    bool asked_peers_ = false;
    bool peer_replied_ = false; ///< One of the domain that knows what was known before its start.
    bool far_replied_ = false;  ///< Another one.
    /// Incarnations of the peers of the domain.
    std::map<std::string, std::uint64_t, std::less<>> handed_over_;
    timer hand_over_timer_;
    std::size_t late_asks_ = 0; ///< Rounds of asking since the store was read.
    bool running_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
