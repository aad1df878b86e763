#include "policy/recovery_notes.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <array>

namespace bamboohoist {

namespace {

constexpr std::int64_t minute_ms = 60'000;
/// Keepers of one note that send it back.
constexpr std::ptrdiff_t returning_holders = 3;

/// How long the notes of a kind matter, by `note_kind`. Departures: late announcements arrive
/// within this time.
constexpr std::array<std::int64_t, 3> lifetimes_ms{5 * minute_ms, 30 * minute_ms, 30 * minute_ms};

/// Notes stay in the store for longer than they matter, because clocks of nodes differ.
constexpr std::int64_t removal_margin_ms = 5 * minute_ms;

constexpr std::array<std::string_view, 3> kind_names{"departure", "crash", "release"};

std::int64_t lifetime_ms(const recovery_note& note)
{
    return lifetimes_ms[static_cast<std::size_t>(note.kind_)];
}

void append_part(std::string& key, std::string_view part)
{
    key += '/';
    key += part;
}

} // namespace

std::string_view to_string(note_kind kind)
{
    return kind_names[static_cast<std::size_t>(kind)];
}

bool has_expired(const recovery_note& note, std::int64_t now_ms)
{
    return now_ms - note.at_ms_ > lifetime_ms(note);
}

bool needs_successor(const recovery_note& note, std::int64_t now_ms)
{
    return now_ms - note.at_ms_ > lifetime_ms(note) / 2;
}

bool is_disposable(const recovery_note& note, std::int64_t now_ms)
{
    return has_expired(note, now_ms - removal_margin_ms);
}

std::string key_of(const recovery_note& note)
{
    std::string key(to_string(note.kind_));
    append_part(key, note.subject_);
    if (note.kind_ == note_kind::departure)
    {
        append_part(key, note.node_);
        append_part(key, std::to_string(note.started_ms_));
        append_part(key, note.ended_ ? "ended" : "leaving");
        if (note.latest_start_ms_ != 0)
        {
            append_part(key, std::to_string(note.latest_start_ms_));
        }
    }
    if (note.kind_ == note_kind::release)
    {
        append_part(key, std::to_string(note.at_ms_));
        for (const std::uint64_t fingerprint : note.fingerprints_)
        {
            append_part(key, std::to_string(fingerprint));
        }
    }
    return key;
}

bool returns_note(std::string_view holder, std::span<const std::string_view> others,
                  std::string_view note_key)
{
    const std::uint64_t own_rank = hash_parts({holder, note_key});
    const auto before = std::ranges::count_if(others, [&](std::string_view other) {
        return hash_parts({other, note_key}) > own_rank;
    });
    return before < returning_holders;
}

recovery_notes::recovery_notes(std::size_t capacity) : capacity_(capacity) {}

bool recovery_notes::add(const recovery_note& note, std::int64_t now_ms)
{
    if (has_expired(note, now_ms))
    {
        return false;
    }
    const auto [known, inserted] = notes_.try_emplace(key_of(note), entry{note});
    const bool added = inserted || (needs_successor(known->second.note_, now_ms) &&
                                    !needs_successor(note, now_ms));
    if (added)
    {
        known->second = entry{note};
    }
    if (notes_.size() > capacity_)
    {
        drop_expired(now_ms);
    }
    if (notes_.size() > capacity_)
    {
        notes_.erase(std::ranges::min_element(
            notes_, {}, [](const auto& pair) { return pair.second.note_.at_ms_; }));
    }
    return added;
}

bool recovery_notes::contains(std::string_view key) const
{
    return notes_.contains(key);
}

bool recovery_notes::is_stored(std::string_view key) const
{
    const auto found = notes_.find(key);
    return found != notes_.end() && found->second.stored_;
}

bool recovery_notes::is_settled(std::string_view key, std::int64_t now_ms) const
{
    const auto found = notes_.find(key);
    return found != notes_.end() && found->second.stored_ &&
           !needs_successor(found->second.note_, now_ms);
}

void recovery_notes::set_stored(std::string_view key)
{
    const auto found = notes_.find(key);
    if (found != notes_.end())
    {
        found->second.stored_ = true;
    }
}

void recovery_notes::forget_stored(std::string_view node)
{
    for (auto& [key, known] : notes_)
    {
        known.stored_ = known.stored_ && known.note_.node_ != node;
    }
}

std::vector<std::uint64_t> recovery_notes::suspects(const recovery_note& crash) const
{
    std::vector<std::uint64_t> remaining = crash.fingerprints_;
    for (const auto& [key, known] : notes_)
    {
        if (known.note_.kind_ == note_kind::release && known.note_.at_ms_ >= crash.at_ms_)
        {
            std::erase_if(remaining,
                          [&released = known.note_.fingerprints_](std::uint64_t fingerprint) {
                              return std::ranges::find(released, fingerprint) != released.end();
                          });
        }
    }
    return remaining;
}

void recovery_notes::visit(std::int64_t now_ms,
                           const std::function<void(const recovery_note&)>& visitor) const
{
    std::vector<const recovery_note*> ordered;
    for (const auto& [key, known] : notes_)
    {
        if (!has_expired(known.note_, now_ms))
        {
            ordered.push_back(&known.note_);
        }
    }
    std::ranges::stable_sort(ordered, {}, [](const recovery_note* note) { return note->at_ms_; });
    for (const recovery_note* note : ordered)
    {
        visitor(*note);
    }
}

std::size_t recovery_notes::size() const
{
    return notes_.size();
}

void recovery_notes::drop_expired(std::int64_t now_ms)
{
    std::erase_if(notes_,
                  [now_ms](const auto& pair) { return has_expired(pair.second.note_, now_ms); });
}

} // namespace bamboohoist
