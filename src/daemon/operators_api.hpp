#ifndef BAMBOOHOIST_DAEMON_OPERATORS_API_HPP
#define BAMBOOHOIST_DAEMON_OPERATORS_API_HPP

#include "daemon/apply_coordinator.hpp"
#include "daemon/quarantine_releaser.hpp"
#include "daemon/stop_plan_executor.hpp"
#include "daemon/target_registry.hpp"
#include "daemon/timeline_collector.hpp"
#include "http/http_server.hpp"

namespace bamboohoist {

/// The operators' HTTP front end: status, apply, time line, drain, release and counters.
class operators_api : public child
{
public:
    operators_api(const control_context& context, membership& members, configuration& config,
                  apply_coordinator& applier, target_registry& targets, stop_plan_executor& stops,
                  timeline_collector& events, quarantine_releaser& releases, control_link& link);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    std::uint16_t port() const;

private:
    using handler = void (operators_api::*)(const exchange_ptr&);

    /// One path of the interface.
    struct path_row
    {
        std::string_view method_;
        std::string_view path_;
        handler handle_;
    };

    void on_request(const exchange_ptr& item);
    void get_status(const exchange_ptr& item);
    void get_manifest(const exchange_ptr& item);
    void get_metrics(const exchange_ptr& item);
    void get_timeline(const exchange_ptr& item);
    void post_apply(const exchange_ptr& item);
    void post_drain(const exchange_ptr& item);
    void post_release(const exchange_ptr& item);
    std::optional<std::string> answer_drain(std::string_view body);

    static const path_row paths[];

    const control_context& context_;
    membership& members_;
    configuration& config_;
    apply_coordinator& apply_;
    target_registry& targets_;
    stop_plan_executor& stops_;
    timeline_collector& timeline_;
    quarantine_releaser& releases_;
    control_link& link_;
    http_server front_;
};

} // namespace bamboohoist

#endif
