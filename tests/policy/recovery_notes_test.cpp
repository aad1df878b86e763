#include "policy/recovery_notes.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr std::int64_t minute_ms = 60'000;

recovery_note make_crash(std::string id, std::int64_t at_ms, std::vector<std::uint64_t> suspects)
{
    recovery_note note;
    note.kind_ = note_kind::crash;
    note.node_ = "n1";
    note.subject_ = std::move(id);
    note.at_ms_ = at_ms;
    note.fingerprints_ = std::move(suspects);
    return note;
}

recovery_note make_release(std::uint64_t fingerprint, std::int64_t at_ms)
{
    recovery_note note;
    note.kind_ = note_kind::release;
    note.node_ = "n2";
    note.at_ms_ = at_ms;
    note.fingerprints_ = {fingerprint};
    return note;
}

} // namespace

TEST_CASE("a crash that several nodes report is noted once")
{
    recovery_notes notes(8);
    CHECK(notes.add(make_crash("c1", 1000, {7}), 1000));
    recovery_note repeated = make_crash("c1", 1005, {7});
    repeated.node_ = "n3";
    CHECK_FALSE(notes.add(repeated, 1005));
    CHECK(notes.size() == 1);
}

TEST_CASE(
    "a release voids earlier crashes of its request, in any order of arrival, and no later ones")
{
    recovery_notes notes(8);
    const recovery_note before = make_crash("c1", 1000, {7, 8});
    const recovery_note after = make_crash("c2", 3000, {7});
    notes.add(make_release(7, 2000), 4000);
    notes.add(before, 4000);
    notes.add(after, 4000);
    CHECK(notes.suspects(before) == std::vector<std::uint64_t>{8});
    CHECK(notes.suspects(after) == std::vector<std::uint64_t>{7});
}

TEST_CASE("expired notes are neither added nor visited, and departures expire before crashes")
{
    recovery_notes notes(8);
    recovery_note departure;
    departure.node_ = "n1";
    departure.subject_ = "i-1";
    departure.at_ms_ = 0;
    CHECK(notes.add(departure, 4 * minute_ms));
    CHECK(notes.add(make_crash("c1", 0, {7}), 4 * minute_ms));
    CHECK_FALSE(notes.add(make_crash("c2", 0, {7}), 31 * minute_ms));
    std::vector<std::string> visited;
    notes.visit(6 * minute_ms,
                [&](const recovery_note& note) { visited.push_back(note.subject_); });
    CHECK(visited == std::vector<std::string>{"c1"});
}

TEST_CASE("the number of notes is bounded, and the oldest is dropped")
{
    recovery_notes notes(2);
    notes.add(make_crash("c2", 2000, {1}), 3000);
    notes.add(make_crash("c1", 1000, {1}), 3000);
    notes.add(make_crash("c3", 3000, {1}), 3000);
    CHECK(notes.size() == 2);
    CHECK_FALSE(notes.contains(key_of(make_crash("c1", 1000, {1}))));
}

// Guards against the notes of one node being sent back by all of its domain, or by nobody.
TEST_CASE("three of the nodes that may have a copy of a note send it back")
{
    std::vector<std::string> names;
    names.reserve(82);
    for (int i = 0; i < 82; ++i)
    {
        names.push_back("n" + std::to_string(i));
    }
    int returning = 0;
    for (const std::string& holder : names)
    {
        std::vector<std::string_view> others(names.begin(), names.end());
        std::erase(others, holder);
        returning += returns_note(holder, others, "departure|n9|i-1") ? 1 : 0;
    }
    CHECK(returning == 3);
    CHECK(returns_note("n1", {}, "departure|n9|i-1"));
}
