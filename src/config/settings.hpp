#ifndef BAMBOOHOIST_CONFIG_SETTINGS_HPP
#define BAMBOOHOIST_CONFIG_SETTINGS_HPP

#include "core/log.hpp"
#include "policy/manifest.hpp"
#include "wire/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// Addresses of a node for use when its advertised addresses are not reachable from this node.
struct path_spec
{
    std::string node_;
    std::optional<endpoint> peers_;
    std::optional<endpoint> gossip_;
};

/// The settings of one `bamboohoistd`, read at its start. `node::reload()` can change some of them
/// later.
struct settings
{
    std::string node_; ///< Name of this node, unique in the fleet.
    std::string region_;
    std::string domain_;
    endpoint callers_{"127.0.0.1", 0};         ///< Front end for callers (HTTP).
    endpoint operators_{"127.0.0.1", 0};       ///< Front end for operators (HTTP).
    endpoint announce_{"127.0.0.1", 0};        ///< Front end for this VM's backend servers (HTTP).
    endpoint peers_{"127.0.0.1", 0};           ///< Requests from other nodes (nghttp2 over TCP).
    endpoint gossip_{"127.0.0.1", 0};          ///< Membership updates (UDP) and exchanges (TCP).
    std::optional<endpoint> advertise_peers_;  ///< Replaces `peers_` for other nodes.
    std::optional<endpoint> advertise_gossip_; ///< Replaces `gossip_` for other nodes.
    endpoint store_;
    std::vector<endpoint> known_peers_; ///< Gossip addresses to join through, besides the store.
    std::vector<path_spec> paths_;
    std::uint32_t ingress_threads_ = 1;
    std::uint32_t idle_timeout_s_ = 30;     ///< Limit for callers' connections without traffic.
    std::uint32_t transfer_timeout_s_ = 60; ///< Limit for one complete request or response.
    log_format log_ = log_format::text;
    std::uint64_t seed_ = 0;        ///< 0 uses a seed of the operating system.
    std::string service_;           ///< Service of this VM's backend server; empty when not known.
    std::optional<endpoint> ready_; ///< Where this node reports its readiness (HTTP).
    bool watch_by_domain_ = true;   ///< True: one node of each failure domain watches the
                                    ///< configuration; false: every node does.
    std::uint32_t announcement_lease_ms_ = 5000;
    std::uint32_t leave_open_ms_ = 0; ///< A leaving node accepts callers' connections until then.
    std::uint32_t leave_limit_ms_ = 30000; ///< When a leaving node ends at the latest.
    double retry_burst_ = 0.0; ///< Retries of the entire fleet beyond the retry budgets of the
                               ///< services; 0 gives each node a fixed number.
    std::uint32_t quota_window_ms_ = 5000; ///< Span in which an organisation's quota is checked.
    double quota_overage_ = 0.1;           ///< Part of a quota by which it may be exceeded.
    double quota_slack_ =
        20.0; ///< Requests in one window by which a quota may be exceeded besides.
    std::uint32_t memory_mb_ = 0;       ///< Memory of this VM for the process; 0 when not known.
    std::uint32_t max_descriptors_ = 0; ///< Limit of open descriptors; 0 when not known.
    std::vector<region_spec> regions_;  ///< Set when the deployment declares the regions.
};

/// Parses and checks settings. On failure the last reason (`bad_settings`) names the path of the
/// key, its line and what was expected.
std::optional<settings> parse_settings(std::string_view text);

} // namespace bamboohoist

#endif
