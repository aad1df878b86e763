#include "config/manifest_json.hpp"

#include "config/object_reader.hpp"

#include <algorithm>
#include <set>

namespace bamboohoist {

namespace {

constexpr double max_share = 1000.0;
constexpr double max_quota = 1e9;

using name_set = std::set<std::string, std::less<>>;

void read_unique(object_reader& reader, std::string_view key, std::string& value, name_set& names)
{
    reader.read_required(key, value);
    if (!value.empty() && !names.insert(value).second)
    {
        reader.report_error(key, "\"" + value + "\" is declared twice");
    }
}

void read_note(object_reader& reader, day_note& note)
{
    reader.read_required("who", note.who_);
    reader.read_required("why", note.why_);
    reader.read("until", note.until_);
}

void read_region(object_reader& reader, region_spec& region, name_set& names, name_set& domains)
{
    read_unique(reader, "name", region.name_, names);
    reader.read("domains", region.domains_);
    if (region.domains_.empty())
    {
        reader.report_error("domains", "expected at least one failure domain");
    }
    for (const std::string& domain : region.domains_)
    {
        if (!domains.insert(domain).second)
        {
            reader.report_error("domains", "\"" + domain + "\" is declared twice");
        }
    }
}

void read_service(object_reader& reader, service_spec& service, name_set& names)
{
    read_unique(reader, "name", service.name_, names);
    std::size_t goal = 0;
    reader.read_choice("health", goal, {"detection-time", "false-ejections", "first-signs"});
    service.health_goal_ = static_cast<health_goal>(goal);
    reader.read("floor", service.floor_, 0.0, 1.0);
    reader.read("queue", service.queue_limit_);
    reader.read("timeout_ms", service.timeout_ms_, 1);
    reader.read("retry_budget", service.retry_budget_, 0.0, 1.0);
    reader.read("connections", service.max_connections_, 1);
    reader.read("retention_s", service.retention_s_, 1);
}

void check_service(object_reader& reader, std::string_view service, const name_set& services)
{
    if (!services.contains(service))
    {
        reader.report_error("service", "no service \"" + std::string(service) + "\" is declared");
    }
}

void read_route_options(object_reader& reader, route_spec& route)
{
    std::size_t kind = 0;
    reader.read_choice("kind", kind, {"by-method", "idempotent", "non-idempotent"});
    route.kind_ = static_cast<request_kind>(kind);
    std::size_t match = 0;
    reader.read_choice("match", match, {"segments", "literal"});
    route.match_ = static_cast<prefix_match>(match);
    reader.read("attempts", route.max_targets_reached_, 1);
    reader.read("timeout_ms", route.timeout_ms_);
    reader.read("goal_ms", route.goal_ms_);
    reader.read("priority", route.priority_);
    reader.read("key_exempt", route.key_exempt_);
    reader.read("unusable", route.unusable_);
}

void read_route(object_reader& reader, route_spec& route, const name_set& services)
{
    reader.read_required("host", route.host_);
    reader.read_required("prefix", route.prefix_);
    reader.read("service", route.service_);
    reader.read("organisations", route.organisations_);
    reader.read_objects("parts", [&](object_reader& item) {
        route_part& part = route.parts_.emplace_back();
        item.read_required("service", part.service_);
        item.read("weight", part.weight_);
        check_service(item, part.service_, services);
    });
    read_route_options(reader, route);
    if (!route.prefix_.empty() && route.prefix_.front() != '/')
    {
        reader.report_error("prefix", "expected a path that starts with /");
    }
    if (route.match_ == prefix_match::literal && !route.prefix_.ends_with('/'))
    {
        reader.report_error("prefix", "expected a path that ends with /");
    }
    if (!route.unusable_.empty() && route.service_.empty() && route.parts_.empty())
    {
        return;
    }
    if (route.service_.empty() == route.parts_.empty())
    {
        reader.report_error("service", "expected either a service or parts");
        return;
    }
    if (route.parts_.empty())
    {
        check_service(reader, route.service_, services);
    }
    else if (std::ranges::all_of(route.parts_, [](const auto& part) { return part.weight_ == 0; }))
    {
        reader.report_error("parts", "expected at least one weight above 0");
    }
}

void read_keys(object_reader& reader, std::vector<key_digest>& keys, name_set& all_keys)
{
    std::vector<std::string> texts;
    reader.read("keys", texts);
    for (const std::string& text : texts)
    {
        const auto digest = parse_key_digest(text);
        if (!digest)
        {
            reader.report_error("keys", "expected digests of 32 hexadecimal digits");
            return;
        }
        if (!all_keys.insert(text).second)
        {
            reader.report_error("keys", "\"" + text + "\" is declared twice");
        }
        keys.push_back(*digest);
    }
}

void read_organisation(object_reader& reader, organisation_spec& organisation, name_set& names,
                       name_set& all_keys)
{
    read_unique(reader, "name", organisation.name_, names);
    reader.read("share", organisation.share_, 0.0, max_share);
    read_keys(reader, organisation.keys_, all_keys);
    reader.read("priority", organisation.priority_);
    reader.read("rate_per_s", organisation.rate_per_s_, 0.0, max_quota);
    reader.read("burst", organisation.burst_, 0.0, max_quota);
}

void read_stop_plan(object_reader& reader, stop_plan& plan, name_set& names)
{
    read_unique(reader, "name", plan.name_, names);
    reader.read("service", plan.service_);
    reader.read("target", plan.target_);
    reader.read("node", plan.node_);
    reader.read("from_ms", plan.from_ms_);
    reader.read("until_ms", plan.until_ms_);
    reader.read_object("note", [&](object_reader& note) { read_note(note, plan.note_); });
    if (plan.service_.empty() && plan.target_.empty() && plan.node_.empty())
    {
        reader.report_error("name", "expected a service, a target or a node that the plan stops");
    }
    if (plan.note_.who_.empty())
    {
        reader.report_error("note", "is missing; a stop plan needs a note");
    }
}

void read_manifest(object_reader& reader, manifest& parsed)
{
    name_set regions;
    name_set domains;
    name_set services;
    name_set organisations;
    name_set keys;
    name_set plans;
    reader.read("organisation_header", parsed.organisation_header_);
    reader.read("keys_required", parsed.keys_required_);
    reader.read("region_bytes_per_s", parsed.region_bytes_per_s_);
    reader.read_objects("regions", [&](object_reader& item) {
        read_region(item, parsed.regions_.emplace_back(), regions, domains);
    });
    reader.read_objects("services", [&](object_reader& item) {
        read_service(item, parsed.services_.emplace_back(), services);
    });
    reader.read_objects("routes", [&](object_reader& item) {
        read_route(item, parsed.routes_.emplace_back(), services);
    });
    reader.read_objects("organisations", [&](object_reader& item) {
        read_organisation(item, parsed.organisations_.emplace_back(), organisations, keys);
    });
    reader.read_objects("stop_plans", [&](object_reader& item) {
        read_stop_plan(item, parsed.stop_plans_.emplace_back(), plans);
    });
    reader.read_objects(
        "notes", [&](object_reader& item) { read_note(item, parsed.notes_.emplace_back()); });
    if (parsed.regions_.empty())
    {
        reader.report_error("regions", "is missing; expected at least one region");
    }
    if (parsed.services_.empty())
    {
        reader.report_error("services", "is missing; expected at least one service");
    }
}

std::optional<ref_ptr<const manifest>> read_document(const std::optional<json_document>& document)
{
    if (!document)
    {
        return std::nullopt;
    }
    const ref_ptr<manifest> parsed(new manifest);
    object_reader reader(*document, document->root(), "");
    read_manifest(reader, *parsed);
    if (!reader.finish())
    {
        return std::nullopt;
    }
    return ref_ptr<const manifest>(parsed);
}

} // namespace

std::optional<ref_ptr<const manifest>> parse_manifest(std::string_view text)
{
    return read_document(json_document::parse(text, error_kind::bad_manifest));
}

std::optional<ref_ptr<const manifest>> parse_validated_manifest(std::string_view text)
{
    return read_document(json_document::parse_validated(text, error_kind::bad_manifest));
}

} // namespace bamboohoist
