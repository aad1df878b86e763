#ifndef BAMBOOHOIST_DAEMON_INGRESS_HPP
#define BAMBOOHOIST_DAEMON_INGRESS_HPP

#include "daemon/quota_client.hpp"
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
class target_selector;

/// A request that has no response yet. It removes itself from its ingress's list.
class open_request : public boost::intrusive::list_base_hook<
                         boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~open_request() = default;

    /// Sends the caller a response with what is known so far, because the process stops now.
    virtual void respond_on_shutdown() = 0;
};

/// What an ingress measures or receives about one target.
struct target_stats
{
    std::uint32_t in_flight_ = 0; ///< Attempts of this ingress without a response.
    double reported_load_ = 0.0;  ///< From the last response; includes other ingresses' requests.
    double latency_ms_ = 1.0;
    double reported_weight_ = 1.0;
    instant reported_at_;  ///< When load and weight were reported.
    trial_clock trials_;   ///< When this ingress may send it a trial request.
    bool ejected_ = false; ///< In the newest snapshot.
    path_health path_;
};

/// What an ingress measures about the requests of one route.
struct route_stats
{
    latency_estimator latency_;
    baseline_estimator baseline_estimator_;
    instant last_used_;
};

/// Accepts callers' requests, chooses targets and relays complete responses. There is one for each
/// ingress thread.
class ingress : public child
{
public:
    ingress(const traffic_context& context, std::string name, const endpoint& local);
    ~ingress() override;

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    void set_fleet(fleet_ptr fleet);

    /// Sets the service of this VM's backend server, which requests from this VM carry.
    void set_service(std::string_view service);

    /// Accepts no new connections; requests in flight continue. On open connections, a request
    /// whose deadline is after `ends_at` is refused.
    void quiesce(instant ends_at);

    /// Refuses every request that arrives from now on, because the process ends.
    void refuse_new_requests();

    /// Responds to every request in flight, because the process stops.
    void respond_to_open_requests();

    std::uint16_t port() const;

    /// Number of requests that have begun to arrive and whose response is not completely written.
    std::size_t unfinished() const;

private:
    friend class request_handler;
    friend class target_selector;
    class target_selector;

    void on_request(const exchange_ptr& item);
    /// Logs a request that was given up because of the memory limit.
    void on_refused(const request_message& request, std::size_t body_bytes);
    peer_link& link_to(std::string_view guard_address);
    target_stats& stats_of(std::string_view target);
    route_stats& stats_of(const route_spec& route);
    /// Typical latency and error rate of a route; estimated from its goal until there is enough
    /// data.
    service_baseline baseline_of(const route_spec& route);
    /// How long a caller should wait before it repeats a refused request; `route` may be null.
    std::optional<duration> retry_after(error_kind kind, outcome result, const route_spec* route);
    /// Charges the bytes of a request to the budget for other regions if the target is in one.
    void charge_region_budget(const fleet_target& target, std::size_t bytes);
    void prune();
    /// Starts the trial clocks of the targets that this snapshot shows as newly ejected.
    void note_ejections(const fleet_snapshot& newest);

    const traffic_context& context_;
    std::string name_;
    http_server server_;
    std::string service_; ///< Of this VM's backend server; empty when not known.
    /// When this node stops; set by `quiesce()` and `refuse_new_requests()`.
    std::optional<instant> ends_at_;
    fleet_ptr fleet_;
    retry_budget budget_;
    boost::intrusive::list<open_request, boost::intrusive::constant_time_size<false>>
        open_requests_;
    std::unordered_map<std::uint64_t, route_stats> route_stats_; ///< By hash of host and prefix.
    std::unordered_map<std::string, target_stats, string_view_hash, std::equal_to<>> target_stats_;
    struct open_link
    {
        std::unique_ptr<peer_link> link_;
        instant last_used_;
    };
    std::map<std::string, open_link, std::less<>> links_;
    quota_client quotas_;
    double region_budget_bytes_ = 0.0; ///< Bytes that may be sent to other regions now.
    instant region_refilled_at_;
    timer prune_timer_;
};

} // namespace bamboohoist

#endif
