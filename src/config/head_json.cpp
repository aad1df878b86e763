#include "config/head_json.hpp"

#include "config/object_reader.hpp"

namespace bamboohoist {

std::string write_head(const revision_head& head)
{
    const nlohmann::ordered_json document{
        {"revision", head.revision_},   {"accepted", head.accepted_},
        {"operation", head.operation_}, {"content", head.content_},
        {"fallback", head.fallback_},   {"fallback_revision", head.fallback_revision_},
        {"who", head.note_.who_},       {"why", head.note_.why_},
        {"until", head.note_.until_},   {"coordinator", head.coordinator_},
        {"waived", head.waived_},       {"proposed_ms", head.proposed_ms_},
        {"withdrawn", head.withdrawn_},
    };
    return document.dump();
}

std::optional<revision_head> parse_head(std::string_view text)
{
    return parse_object<revision_head>(
        text, error_kind::internal, [](object_reader& reader, revision_head& head) {
            reader.read("revision", head.revision_);
            reader.read("accepted", head.accepted_);
            reader.read("operation", head.operation_);
            reader.read("content", head.content_);
            reader.read("fallback", head.fallback_);
            reader.read("fallback_revision", head.fallback_revision_);
            reader.read("who", head.note_.who_);
            reader.read("why", head.note_.why_);
            reader.read("until", head.note_.until_);
            reader.read("coordinator", head.coordinator_);
            reader.read("waived", head.waived_);
            reader.read("proposed_ms", head.proposed_ms_);
            reader.read("withdrawn", head.withdrawn_);
        });
}

} // namespace bamboohoist
