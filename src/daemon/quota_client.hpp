#ifndef BAMBOOHOIST_DAEMON_QUOTA_CLIENT_HPP
#define BAMBOOHOIST_DAEMON_QUOTA_CLIENT_HPP

#include "core/lifetime.hpp"
#include "daemon/traffic_context.hpp"
#include "loop/timer.hpp"
#include "policy/fleet.hpp"
#include "policy/quota_accounts.hpp"
#include "wire/peer_link.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bamboohoist {

/// Admits callers' requests within the quotas of their organisations, on an ingress's thread. Asks
/// the owners for credits over the ingress's links and keeps the requests that wait for a reply.
class quota_client
{
public:
    using link_finder = std::function<peer_link&(std::string_view guard_address)>;
    using callback = std::function<void(const quota_decision&)>;

    quota_client(const traffic_context& context, link_finder find_link);

    void set_fleet(const fleet_ptr& fleet);

    /// Decides about a request, which takes one credit. The callback runs at once or after a short
    /// wait; it does not run after `stop()`.
    void admit(const active_revision& active, std::string_view organisation, duration time_left,
               callback on_decided);

    /// Gives back the credit of a request that did not run; `taken` is when it was admitted.
    void give_back(std::string_view organisation, instant taken);

    /// Drops the requests that wait and the asks that are out.
    void stop();

    /// Removes the accounts that are not in use.
    void prune();

private:
    struct waiting_request
    {
        callback on_decided_;
        instant limit_; ///< When it is decided without the owner.
    };

    /// The requests of one organisation that wait, and the ask that is out.
    struct waiting_queue
    {
        std::deque<waiting_request> requests_;
        peer_link* link_ = nullptr; ///< Null while no ask is out.
        peer_link::call_id call_ = 0;
        std::string node_; ///< Whom the ask was sent to.
        instant asked_at_;
    };

    void send_ask(std::string_view organisation);
    void on_reply(std::string_view organisation, peer_link::call_id call,
                  const call_result& result);
    void fail_ask(std::string_view organisation, waiting_queue& queue, bool timed_out);
    /// Decides about the requests that wait as far as that is possible, and asks for the others.
    void resolve(std::string_view organisation);
    void resolve_all();
    /// Decides about the first request that waits.
    void decide_first(std::string_view organisation, const quota_decision& decision);
    void report(const quota_decision& decision, std::string_view organisation,
                const callback& on_decided);
    /// Ends asks without a reply and waits that have lasted too long.
    void check_limits();
    /// A copy, because decisions change the queues.
    std::vector<std::string> waiting_organisations() const;
    void remove_if_empty(std::string_view organisation);
    void set_fixed_share_in_use(bool in_use, std::string_view organisation);

    const traffic_context& context_;
    link_finder find_link_;
    quota_accounts accounts_;
    std::map<std::string, waiting_queue, std::less<>> queues_;
    timer limit_timer_; ///< Runs while there are queues.
    bool fixed_share_in_use_ = false;
    instant last_event_;
    lifetime lifetime_;
};

/// Describes a refusal for the log and the caller.
std::string describe_refusal(std::string_view organisation, const quota_decision& decision);

} // namespace bamboohoist

#endif
