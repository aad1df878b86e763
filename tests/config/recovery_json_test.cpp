#include "config/recovery_json.hpp"

#include "core/error.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

recovery_note make_note()
{
    recovery_note note;
    note.kind_ = note_kind::crash;
    note.node_ = "n1";
    note.at_ms_ = 1'700'000'000'123;
    note.subject_ = "orders@10.0.0.1:80#i-1/5";
    note.fingerprints_ = {1, 0xffff'ffff'ffff'fff1ULL};
    return note;
}

} // namespace

TEST_CASE("a note and a reply are read as they were written")
{
    const recovery_note note = make_note();
    CHECK(parse_recovery_note(write_recovery_note(note)) == note);
    recovery_note end = note;
    end.kind_ = note_kind::departure;
    end.latest_start_ms_ = 1'700'000'000'456;
    CHECK(parse_recovery_note(write_recovery_note(end)) == end);
    recovery_reply reply;
    reply.complete_ = true;
    reply.notes_ = {note, note};
    const auto parsed = parse_recovery_reply(write_recovery_reply(reply));
    REQUIRE(parsed);
    CHECK(parsed->complete_);
    CHECK(parsed->notes_ == reply.notes_);
}

TEST_CASE("a text that is no note is refused with a reason")
{
    for (const std::string_view text :
         {"", "[]", "{\"kind\": \"crash\"}", "{\"kind\": \"other\", \"node\": \"n1\"}",
          "{\"kind\": \"crash\", \"node\": \"n1\", \"fingerprints\": [\"x1\"]}"})
    {
        CHECK_FALSE(parse_recovery_note(text));
        CHECK_FALSE(last_reason().text_.empty());
    }
    CHECK_FALSE(parse_recovery_reply("{\"complete\": true, \"notes\": [{}]}"));
}
