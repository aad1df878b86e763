#ifndef BAMBOOHOIST_DAEMON_NOTE_READER_HPP
#define BAMBOOHOIST_DAEMON_NOTE_READER_HPP

#include "daemon/membership.hpp"
#include "policy/recovery_notes.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <span>
#include <string_view>

namespace bamboohoist {

/// Reads all recovery notes of the fleet from the store once, and repeats that until the store has
/// replied: to this node, or to a peer that it serves and that reads for this node.
class note_reader
{
public:
    /// Gets the notes and by which way they came.
    using callback =
        std::function<void(std::span<const recovery_note> notes, std::string_view source)>;

    note_reader(const control_context& context, store_client& store, control_link& link,
                membership& members, callback on_read);

    void start();
    void stop();
    void on_store_regained();

private:
    void read();
    /// Has a peer read the store.
    void ask_peer();
    void finish(std::span<const recovery_note> notes, std::string_view source);
    /// Reads the store for a peer.
    void handle_relay(const control_link::callback& reply);

    const control_context& context_;
    store_client& store_;
    control_link& link_;
    membership& members_;
    callback on_read_;
    duration delay_;
    timer timer_;
    bool running_ = false;
    bool asked_before_ = false; ///< The store has been asked at least once.
    bool refused_ = false;      ///< A peer was asked at once after the store's first refusal.
    bool done_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
