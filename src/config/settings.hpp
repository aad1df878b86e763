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

/// Where to reach one node when its advertised addresses cannot be used from here.
struct path_spec
{
    std::string node_;
    std::optional<endpoint> peers_;
    std::optional<endpoint> gossip_;
};

/// The settings of one `bamboohoistd`, read once at its start.
struct settings
{
    std::string node_; ///< Name of this node, unique in the fleet.
    std::string region_;
    std::string domain_;
    endpoint callers_{"127.0.0.1", 0};         ///< Front end of callers (HTTP).
    endpoint operators_{"127.0.0.1", 0};       ///< Front end of operators (HTTP).
    endpoint announce_{"127.0.0.1", 0};        ///< Front end of this VM's backend servers (HTTP).
    endpoint peers_{"127.0.0.1", 0};           ///< Requests from other nodes (nghttp2 over TCP).
    endpoint gossip_{"127.0.0.1", 0};          ///< Membership (UDP) and its exchanges (TCP).
    std::optional<endpoint> advertise_peers_;  ///< In place of `peers_` towards other nodes.
    std::optional<endpoint> advertise_gossip_; ///< In place of `gossip_` towards other nodes.
    endpoint store_;
    std::vector<endpoint> known_peers_; ///< Gossip addresses to join through, besides the store.
    std::vector<path_spec> paths_;
    std::uint32_t ingress_threads_ = 1;
    std::uint32_t idle_timeout_s_ = 30;     ///< For callers' connections without a byte.
    std::uint32_t transfer_timeout_s_ = 60; ///< For a whole request in, or a whole answer out.
    log_format log_ = log_format::text;
    std::uint64_t seed_ = 0;        ///< 0 takes a seed from the operating system.
    std::string service_;           ///< Of this VM's backend server; empty when it is not told.
    std::optional<endpoint> ready_; ///< Where the readiness of this node is asked for (HTTP).
    bool watch_by_domain_ = true;   ///< One node in each failure domain watches the configuration;
                                    ///< every node does so otherwise.
    std::uint32_t announcement_lease_ms_ = 5000;
    std::uint32_t leave_open_ms_ = 0;      ///< Callers' connections are still taken while leaving.
    std::uint32_t leave_limit_ms_ = 30000; ///< A leaving node ends then, whatever is in hand.
    double retry_burst_ = 0.0; ///< Retries of the whole fleet beyond the shares of the services;
                               ///< 0 leaves each node a fixed number.
    std::vector<region_spec> regions_; ///< Where the deployment declares them.
};

/// Parses and checks settings. On failure the last reason (`bad_settings`) names the path of the
/// key, its line and what was expected.
std::optional<settings> parse_settings(std::string_view text);

} // namespace bamboohoist

#endif
