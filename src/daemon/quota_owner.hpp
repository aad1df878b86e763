#ifndef BAMBOOHOIST_DAEMON_QUOTA_OWNER_HPP
#define BAMBOOHOIST_DAEMON_QUOTA_OWNER_HPP

#include "core/lifetime.hpp"
#include "daemon/traffic_context.hpp"
#include "loop/timer.hpp"
#include "policy/fleet.hpp"
#include "policy/quota_ledger.hpp"
#include "wire/stream_server.hpp"

namespace bamboohoist {

/// How exactly quotas are kept, from the settings.
quota_rule quota_rule_of(const settings& node_settings);

/// The quota of a declared organisation.
std::optional<quota_limit> find_quota_limit(const active_revision& active,
                                            std::string_view organisation);

/// Replies to the asks of ingresses for credits, on the guard's thread, and checks owners that
/// ingresses cannot reach.
class quota_owner
{
public:
    explicit quota_owner(const traffic_context& context);

    void set_fleet(const fleet_ptr& fleet);

    void on_call(const stream_call_ptr& call);

private:
    struct owner_check;

    void prune();
    /// Connects to a node and to a sample of the others, to find out whether just that one is gone.
    void start_check(std::string_view node);
    void finish_check(const owner_check& check);

    const traffic_context& context_;
    quota_ledger ledger_;
    fleet_ptr fleet_;
    timer prune_timer_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
