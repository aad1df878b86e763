#include "config/recovery_json.hpp"

#include "config/object_reader.hpp"

#include <charconv>

namespace bamboohoist {

namespace {

using json = nlohmann::ordered_json;

json note_json(const recovery_note& note)
{
    // Numbers above 2^53 are not exact in every JSON reader.
    json fingerprints = json::array();
    for (const std::uint64_t fingerprint : note.fingerprints_)
    {
        fingerprints.push_back(std::to_string(fingerprint));
    }
    json object{{"kind", to_string(note.kind_)},  {"node", note.node_},
                {"at_ms", note.at_ms_},           {"subject", note.subject_},
                {"started_ms", note.started_ms_}, {"sequence", note.sequence_},
                {"ended", note.ended_},           {"fingerprints", std::move(fingerprints)}};
    if (note.latest_start_ms_ != 0)
    {
        // Only then, because readers of a former version refuse fields that they don't know.
        object["latest_start_ms"] = note.latest_start_ms_;
    }
    return object;
}

void read_fingerprints(object_reader& reader, recovery_note& note)
{
    std::vector<std::string> texts;
    reader.read("fingerprints", texts);
    for (const std::string& text : texts)
    {
        std::uint64_t value = 0;
        const char* const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, value);
        if (parsed.ec != std::errc{} || parsed.ptr != end)
        {
            reader.report_error("fingerprints", "expected decimal numbers as strings");
            return;
        }
        note.fingerprints_.push_back(value);
    }
}

void read_note(object_reader& reader, recovery_note& note)
{
    std::size_t kind = 0;
    reader.read_choice("kind", kind,
                       {to_string(note_kind::departure), to_string(note_kind::crash),
                        to_string(note_kind::release)});
    note.kind_ = static_cast<note_kind>(kind);
    reader.read_required("node", note.node_);
    reader.read("at_ms", note.at_ms_);
    reader.read("subject", note.subject_);
    reader.read("started_ms", note.started_ms_);
    reader.read("sequence", note.sequence_);
    reader.read("ended", note.ended_);
    reader.read("latest_start_ms", note.latest_start_ms_);
    read_fingerprints(reader, note);
}

std::string dump(const json& value)
{
    // Names come from other programs and may hold bytes that are not UTF-8.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string write_recovery_note(const recovery_note& note)
{
    return dump(note_json(note));
}

std::optional<recovery_note> parse_recovery_note(std::string_view text)
{
    return parse_object<recovery_note>(text, error_kind::bad_request, &read_note);
}

std::string write_recovery_reply(const recovery_reply& reply)
{
    json notes = json::array();
    for (const recovery_note& note : reply.notes_)
    {
        notes.push_back(note_json(note));
    }
    return dump(json{{"complete", reply.complete_}, {"notes", std::move(notes)}});
}

std::optional<recovery_reply> parse_recovery_reply(std::string_view text)
{
    return parse_object<recovery_reply>(text, error_kind::bad_request,
                                        [](object_reader& reader, recovery_reply& reply) {
                                            reader.read("complete", reply.complete_);
                                            reader.read_objects("notes", [&](object_reader& item) {
                                                recovery_note note;
                                                read_note(item, note);
                                                reply.notes_.push_back(std::move(note));
                                            });
                                        });
}

} // namespace bamboohoist
