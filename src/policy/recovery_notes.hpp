#ifndef BAMBOOHOIST_POLICY_RECOVERY_NOTES_HPP
#define BAMBOOHOIST_POLICY_RECOVERY_NOTES_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// The prefix of the notes' keys in the store.
inline constexpr std::string_view note_prefix = "bamboohoist/recovery/";

/// What a recovery note is about.
enum class note_kind : std::uint8_t
{
    departure, ///< A backend server has announced that it leaves or that it has ended.
    crash,     ///< A backend server has crashed while it ran requests.
    release,   ///< An operator has ended the quarantine of a request.
};

/// Returns the name of a kind in the text of a note.
std::string_view to_string(note_kind kind);

/// One fact that a node has learned and that its successor after a restart needs. A note never
/// changes once it is written.
struct recovery_note
{
    note_kind kind_ = note_kind::departure;
    std::string node_;            ///< The node that has learned it.
    std::int64_t at_ms_ = 0;      ///< Wall clock of that node.
    std::string subject_;         ///< Departure: the instance. Crash: its identifier.
    std::int64_t started_ms_ = 0; ///< Departure: the start of the instance; 0 when not announced.
    std::uint64_t sequence_ = 0;  ///< Departure: of the announcement that it leaves.
    bool ended_ = false;          ///< Departure: it has announced its end, not only its leaving.
    /// Departure: as `departed_instance::latest_start_ms_`.
    std::int64_t latest_start_ms_ = 0;
    /// Crash: the requests that were running. Release: the released request.
    std::vector<std::uint64_t> fingerprints_;

    bool operator==(const recovery_note&) const = default;
};

/// True when a note no longer matters.
bool has_expired(const recovery_note& note, std::int64_t now_ms);

/// True when a note is too old for a fact that is announced again: half of the time for which it
/// matters is over.
bool needs_successor(const recovery_note& note, std::int64_t now_ms);

/// True when a note may be removed from the store: it no longer matters to any node, although their
/// clocks differ.
bool is_disposable(const recovery_note& note, std::int64_t now_ms);

/// Identifies a note: two notes with the same key say the same.
std::string key_of(const recovery_note& note);

/// True when `holder` is one of the few that send a note back to the node that has learned it, of
/// all nodes that may have a copy; `others` are the rest of them. Several do, because a copy may
/// have been lost on its way.
bool returns_note(std::string_view holder, std::span<const std::string_view> others,
                  std::string_view note_key);

/// The recovery notes that a node knows, its own and those of other nodes. Their number is bounded;
/// the oldest are dropped first. A release voids earlier crashes of its request.
class recovery_notes
{
public:
    explicit recovery_notes(std::size_t capacity);

    /// Adds a note. False when it is known or has expired. One that needs a successor is replaced.
    bool add(const recovery_note& note, std::int64_t now_ms);

    bool contains(std::string_view key) const;

    /// Whether the store is known to hold the note. A copy that only processes hold doesn't outlive
    /// a loss of power.
    bool is_stored(std::string_view key) const;

    /// Whether the store is known to hold the note, and it needs no successor.
    bool is_settled(std::string_view key, std::int64_t now_ms) const;
    void set_stored(std::string_view key);

    /// The store may hold none of the notes of `node` any more.
    void forget_stored(std::string_view node);

    /// The fingerprints of a crash that no operator has released since.
    std::vector<std::uint64_t> suspects(const recovery_note& crash) const;

    /// Calls the visitor with each note that has not expired, in the order of time.
    void visit(std::int64_t now_ms, const std::function<void(const recovery_note&)>& visitor) const;

    std::size_t size() const;

private:
    struct entry
    {
        recovery_note note_;
        bool stored_ = false;
    };

    void drop_expired(std::int64_t now_ms);

    std::size_t capacity_;
    std::map<std::string, entry, std::less<>> notes_; ///< By `key_of()`.
};

} // namespace bamboohoist

#endif
