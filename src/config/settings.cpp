#include "config/settings.hpp"

#include "config/object_reader.hpp"

namespace bamboohoist {

namespace {

constexpr std::uint32_t max_ingress_threads = 64;
constexpr double max_retry_burst = 1e6;
constexpr double max_quota_overage = 1.0;
constexpr double max_quota_slack = 1e6;

template <typename Endpoint>
void read_endpoint(object_reader& reader, std::string_view key, Endpoint& value)
{
    std::string text;
    reader.read(key, text);
    if (text.empty())
    {
        return;
    }
    const auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        reader.report_error(key, std::string(last_reason().text_));
        return;
    }
    value = *parsed;
}

void read_path(object_reader& reader, path_spec& path)
{
    reader.read_required("node", path.node_);
    read_endpoint(reader, "peers", path.peers_);
    read_endpoint(reader, "gossip", path.gossip_);
}

void read_known_peers(object_reader& reader, std::vector<endpoint>& peers)
{
    std::vector<std::string> texts;
    reader.read("known_peers", texts);
    for (const std::string& text : texts)
    {
        const auto parsed = parse_endpoint(text);
        if (!parsed)
        {
            reader.report_error("known_peers", std::string(last_reason().text_));
            return;
        }
        peers.push_back(*parsed);
    }
}

void read_settings(object_reader& reader, settings& parsed)
{
    reader.read_required("node", parsed.node_);
    reader.read_required("region", parsed.region_);
    reader.read_required("domain", parsed.domain_);
    read_endpoint(reader, "callers", parsed.callers_);
    read_endpoint(reader, "operators", parsed.operators_);
    read_endpoint(reader, "announce", parsed.announce_);
    read_endpoint(reader, "peers", parsed.peers_);
    read_endpoint(reader, "gossip", parsed.gossip_);
    read_endpoint(reader, "advertise_peers", parsed.advertise_peers_);
    read_endpoint(reader, "advertise_gossip", parsed.advertise_gossip_);
    std::string store;
    reader.read_required("store", store);
    read_endpoint(reader, "store", parsed.store_);
    read_known_peers(reader, parsed.known_peers_);
    reader.read_objects(
        "paths", [&](object_reader& item) { read_path(item, parsed.paths_.emplace_back()); });
    reader.read("ingress_threads", parsed.ingress_threads_, 1);
    if (parsed.ingress_threads_ > max_ingress_threads)
    {
        reader.report_error("ingress_threads", "expected at most 64 threads");
    }
    reader.read("idle_timeout_s", parsed.idle_timeout_s_, 1);
    reader.read("transfer_timeout_s", parsed.transfer_timeout_s_, 1);
    std::size_t log = 0;
    reader.read_choice("log", log, {"text", "json"});
    parsed.log_ = static_cast<log_format>(log);
    reader.read("seed", parsed.seed_);
    reader.read("service", parsed.service_);
    read_endpoint(reader, "ready", parsed.ready_);
    reader.read("watch_by_domain", parsed.watch_by_domain_);
    reader.read("announcement_lease_ms", parsed.announcement_lease_ms_, 1);
    reader.read("leave_open_ms", parsed.leave_open_ms_);
    reader.read("leave_limit_ms", parsed.leave_limit_ms_, 1);
    reader.read("retry_burst", parsed.retry_burst_, 0.0, max_retry_burst);
    reader.read("quota_window_ms", parsed.quota_window_ms_, 1);
    reader.read("quota_overage", parsed.quota_overage_, 0.0, max_quota_overage);
    reader.read("quota_slack", parsed.quota_slack_, 0.0, max_quota_slack);
    reader.read("memory_mb", parsed.memory_mb_);
    reader.read("max_descriptors", parsed.max_descriptors_);
}

} // namespace

std::optional<settings> parse_settings(std::string_view text)
{
    return parse_object<settings>(text, error_kind::bad_settings, &read_settings);
}

} // namespace bamboohoist
