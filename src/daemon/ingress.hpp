#ifndef BAMBOOHOIST_DAEMON_INGRESS_HPP
#define BAMBOOHOIST_DAEMON_INGRESS_HPP

#include "daemon/traffic_context.hpp"
#include "http/http_server.hpp"
#include "policy/baseline_estimator.hpp"
#include "policy/fleet.hpp"
#include "policy/forwarded_request.hpp"
#include "policy/latency_estimator.hpp"
#include "policy/path_health.hpp"
#include "policy/retry_policy.hpp"
#include "wire/peer_link.hpp"

#include <boost/intrusive/list.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace bamboohoist {

class request_handler;

/// A request that has no answer yet. It leaves the list of its ingress by itself.
class open_request : public boost::intrusive::list_base_hook<
                         boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~open_request() = default;

    /// The process ends now: the caller gets whatever is true at this moment.
    virtual void respond_on_shutdown() = 0;
};

/// What an ingress learns by itself about one target.
struct target_stats
{
    std::uint32_t in_flight_ = 0; ///< Attempts of this ingress.
    double reported_load_ = 0.0;  ///< By the last answer, other ingresses' work included.
    double latency_ms_ = 1.0;
    double reported_weight_ = 1.0;
    instant reported_at_; ///< When load and weight were reported.
    instant trial_at_;    ///< When this ingress last offered it a request of a trial.
    path_health path_;
};

/// What an ingress learns by itself about the requests of one route.
struct route_stats
{
    latency_estimator latency_;
    baseline_estimator baseline_estimator_;
    instant used_;
};

/// Takes callers' requests, chooses targets and relays whole answers. One for each thread of
/// callers' traffic.
class ingress : public child
{
public:
    ingress(const traffic_context& context, std::string name, const endpoint& local);
    ~ingress() override;

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    void set_fleet(fleet_ptr fleet);

    /// Takes no new connections; requests in hand go on. On the connections that are left, what
    /// may take longer than until `end` is refused.
    void quiesce(instant end);

    /// Answers every request in hand, because the process ends.
    void respond_to_open_requests();

    std::uint16_t port() const;
    std::size_t in_flight() const;

private:
    friend class request_handler;

    void on_request(const exchange_ptr& item);
    peer_link& link_to(std::string_view guard);
    target_stats& view_of(std::string_view target);
    route_stats& view_of(const route_spec& route);
    /// What is usual for the requests of a route, from its goal as long as little is known.
    service_baseline baseline_of(const route_spec& route);
    void prune();

    const traffic_context& context_;
    std::string name_;
    http_server front_;
    std::optional<instant> end_; ///< When this node ends, once it takes no new connections.
    fleet_ptr fleet_;
    retry_budget budget_;
    boost::intrusive::list<open_request, boost::intrusive::constant_time_size<false>> open_;
    std::unordered_map<std::uint64_t, route_stats> routes_; ///< By hash of host and prefix.
    std::unordered_map<std::string, target_stats, string_view_hash, std::equal_to<>> views_;
    struct open_link
    {
        std::unique_ptr<peer_link> link_;
        instant used_;
    };
    std::map<std::string, open_link, std::less<>> links_;
    double region_tokens_ = 0.0; ///< Bytes that may go to the other region now.
    instant region_refill_;
    timer prune_timer_;
};

} // namespace bamboohoist

#endif
