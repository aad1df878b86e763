#include "daemon/operators_api.hpp"

#include "config/object_reader.hpp"

#include <charconv>

namespace bamboohoist {

namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t max_body_bytes = 32U << 20U;
constexpr std::array<std::string_view, 4> state_names{"alive", "suspect", "dead", "left"};

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

response_message json_error(error_kind kind, std::string_view detail)
{
    return json_response(error_response_for(kind).status_,
                         dump(json{{"error", error_response_for(kind).name_}, {"detail", detail}}));
}

json target_json(const target_record& target)
{
    return json{{"target", target.id_},
                {"service", target.service_},
                {"slots", target.slots_},
                {"leaving", target.leaving_},
                {"weight", target.weight_}};
}

json member_json(const member_record& member)
{
    json targets = json::array();
    for (const target_record& target : member.targets_)
    {
        targets.push_back(target_json(target));
    }
    return json{{"node", member.node_},
                {"region", member.region_},
                {"domain", member.domain_},
                {"state", state_names[static_cast<std::size_t>(member.state_)]},
                {"incarnation", member.incarnation_},
                {"targets", std::move(targets)}};
}

json note_json(const day_note& note)
{
    return json{{"who", note.who_}, {"why", note.why_}, {"until", note.until_}};
}

json head_json(const revision_head& head)
{
    return json{{"revision", head.revision_},
                {"accepted", head.accepted_},
                {"withdraws", head.withdrawn_},
                {"waived", head.waived_},
                {"note", note_json(head.note_)}};
}

json event_json(const event& entry)
{
    return json{
        {"at_ms", entry.at_.wall_ms_}, {"logical", entry.at_.logical_}, {"node", entry.node_},
        {"subject", entry.subject_},   {"what", entry.what_},           {"rule", entry.rule_},
        {"evidence", entry.evidence_}, {"revision", entry.revision_},   {"note", entry.note_}};
}

std::string query_value(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    std::string_view query = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!query.empty())
    {
        const std::string_view part = query.substr(0, query.find('&'));
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
        {
            return std::string(part.substr(equals + 1));
        }
        query.remove_prefix(std::min(query.size(), part.size() + 1));
    }
    return {};
}

struct drain_request
{
    std::string target_;
    bool resume_ = false;
    day_note note_;
};

std::optional<drain_request> parse_drain(std::string_view text)
{
    return parse_object<drain_request>(text, error_kind::bad_request,
                                       [](object_reader& reader, drain_request& request) {
                                           reader.read_required("target", request.target_);
                                           reader.read("resume", request.resume_);
                                           reader.read_required("who", request.note_.who_);
                                           reader.read_required("why", request.note_.why_);
                                       });
}

struct release_request
{
    std::uint64_t fingerprint_ = 0;
    day_note note_;
};

std::optional<release_request> parse_release(std::string_view text)
{
    return parse_object<release_request>(
        text, error_kind::bad_request, [](object_reader& reader, release_request& request) {
            std::string fingerprint;
            reader.read_required("request_like", fingerprint);
            reader.read_required("who", request.note_.who_);
            reader.read_required("why", request.note_.why_);
            const char* const end = fingerprint.data() + fingerprint.size();
            const auto parsed = std::from_chars(fingerprint.data(), end, request.fingerprint_);
            if (parsed.ec != std::errc{} || parsed.ptr != end)
            {
                reader.report_error("request_like",
                                    "expected the number given by the event 'quarantined'");
            }
        });
}

std::optional<apply_request> parse_apply(std::string_view text)
{
    return parse_object<apply_request>(text, error_kind::bad_request,
                                       [](object_reader& reader, apply_request& request) {
                                           reader.read_required("manifest", request.manifest_text_);
                                           reader.read("base", request.base_);
                                           reader.read_required("who", request.note_.who_);
                                           reader.read_required("why", request.note_.why_);
                                           reader.read("until", request.note_.until_);
                                           reader.read("without_domains", request.waived_);
                                       });
}

} // namespace

const operators_api::path_row operators_api::paths[] = {
    {"GET", "/v1/status", &operators_api::get_status},
    {"GET", "/v1/manifest", &operators_api::get_manifest},
    {"GET", "/v1/timeline", &operators_api::get_timeline},
    {"GET", "/metrics", &operators_api::get_metrics},
    {"POST", "/v1/apply", &operators_api::post_apply},
    {"POST", "/v1/drain", &operators_api::post_drain},
    {"POST", "/v1/release", &operators_api::post_release},
};

operators_api::operators_api(const control_context& context, membership& members,
                             configuration& config, apply_coordinator& coordinator,
                             target_registry& targets, stop_plan_executor& stop_executor,
                             timeline_collector& timeline, quarantine_releaser& releaser,
                             control_link& link)
    : context_(context), members_(members), config_(config), coordinator_(coordinator),
      targets_(targets), stop_executor_(stop_executor), timeline_collector_(timeline),
      releaser_(releaser), link_(link),
      server_(context.loop_,
              http_server_options{.name_ = "operators",
                                  .address_ = context.settings_.operators_.address_,
                                  .port_ = context.settings_.operators_.port_,
                                  .max_body_bytes_ = max_body_bytes,
                                  // Unfinished requests of callers must not keep these out.
                                  .body_use_ = memory_use::transit},
              [this](const exchange_ptr& item) { on_request(item); })
{
    link_.add_responder("/drain", [this](std::string_view body) { return handle_drain(body); });
}

std::string_view operators_api::name() const
{
    return "operators-api";
}

bool operators_api::start()
{
    return server_.start();
}

void operators_api::stop()
{
    server_.stop();
}

std::uint16_t operators_api::port() const
{
    return server_.port();
}

void operators_api::on_request(const exchange_ptr& item)
{
    const request_message& request = item->request();
    for (const path_row& row : paths)
    {
        if (row.method_ == request.method_ && row.path_ == path_without_query(request.target_))
        {
            (this->*row.handle_)(item);
            return;
        }
    }
    item->complete(json_error(error_kind::not_found, "no such path"));
}

void operators_api::get_status(const exchange_ptr& item)
{
    json nodes = json::array();
    for (const member_record* member : members_.table().all())
    {
        nodes.push_back(member_json(*member));
    }
    json notes = json::array();
    if (config_.active())
    {
        for (const day_note& note : config_.active()->manifest_->notes_)
        {
            notes.push_back(note_json(note));
        }
    }
    const json body{{"node", context_.settings_.node_},
                    {"newest", head_json(config_.head())},
                    {"in_force", config_.revision_in_force()},
                    {"day_notes", std::move(notes)},
                    {"nodes", std::move(nodes)}};
    item->complete(json_response(200, dump(body)));
}

void operators_api::get_manifest(const exchange_ptr& item)
{
    const std::string text = config_.manifest_text();
    if (text.empty())
    {
        item->complete(json_error(error_kind::not_ready, "no revision is in force"));
        return;
    }
    item->complete(json_response(200, text));
}

void operators_api::get_metrics(const exchange_ptr& item)
{
    response_message response;
    response.status_ = 200;
    response.headers_.push_back(header{"Content-Type", "text/plain; version=0.0.4"});
    response.body_ = context_.metrics_.exposition();
    item->complete(std::move(response));
}

void operators_api::get_timeline(const exchange_ptr& item)
{
    hlc_timestamp since;
    const std::string since_text = query_value(item->request().target_, "since_ms");
    std::from_chars(since_text.data(), since_text.data() + since_text.size(), since.wall_ms_);
    const std::string subject = query_value(item->request().target_, "subject");
    timeline_collector_.collect(since, subject, [item](const merged_events& merged) {
        json events = json::array();
        for (const event& entry : merged.events_)
        {
            events.push_back(event_json(entry));
        }
        const json body{{"events", std::move(events)}, {"unreachable", merged.unreachable_}};
        item->complete(json_response(200, dump(body)));
    });
}

void operators_api::post_apply(const exchange_ptr& item)
{
    auto request = parse_apply(item->request().body_);
    if (!request)
    {
        item->complete(json_error(last_reason().kind_, last_reason().text_));
        return;
    }
    coordinator_.submit(std::move(*request), [item](const apply_result& result) {
        const error_response& row = error_response_for(result.error_);
        const json body{{"accepted", result.error_ == error_kind::none},
                        {"revision", result.revision_},
                        {"error", row.name_},
                        {"detail", result.detail_},
                        {"missing_domains", result.missing_domains_}};
        item->complete(json_response(row.status_, dump(body)));
    });
}

void operators_api::post_drain(const exchange_ptr& item)
{
    const auto request = parse_drain(item->request().body_);
    if (!request)
    {
        item->complete(json_error(last_reason().kind_, last_reason().text_));
        return;
    }
    if (targets_.contains(request->target_))
    {
        item->complete(json_response(200, *handle_drain(item->request().body_)));
        return;
    }
    for (const member_record* peer : members_.table().peers())
    {
        const bool owns_target =
            std::ranges::any_of(peer->targets_, [&](const target_record& target) {
                return target.id_ == request->target_;
            });
        if (!owns_target)
        {
            continue;
        }
        link_.call(members_.gossip_endpoint(*peer), "/drain", item->request().body_,
                   [item](const std::optional<std::string>& body) {
                       item->complete(body ? json_response(200, *body)
                                           : json_error(error_kind::peer_unreachable,
                                                        "the node of the target did not reply"));
                   });
        return;
    }
    item->complete(json_error(error_kind::not_found, "unknown target " + request->target_));
}

void operators_api::post_release(const exchange_ptr& item)
{
    const auto request = parse_release(item->request().body_);
    if (!request)
    {
        item->complete(json_error(last_reason().kind_, last_reason().text_));
        return;
    }
    releaser_.release(request->fingerprint_, request->note_, [item](const release_result& result) {
        const json body{{"nodes", result.nodes_}, {"unreachable", result.unreachable_}};
        item->complete(json_response(200, dump(body)));
    });
}

std::optional<std::string> operators_api::handle_drain(std::string_view body)
{
    const auto request = parse_drain(body);
    if (!request || !targets_.contains(request->target_))
    {
        return std::nullopt;
    }
    stop_executor_.request_drain(request->target_, request->resume_, request->note_);
    return dump(json{{"target", request->target_}, {"stop_wanted", !request->resume_}});
}

} // namespace bamboohoist
