#ifndef BAMBOOHOIST_DAEMON_OPERATORS_API_HPP
#define BAMBOOHOIST_DAEMON_OPERATORS_API_HPP

#include "daemon/apply_coordinator.hpp"
#include "daemon/quarantine_releaser.hpp"
#include "daemon/stop_plan_executor.hpp"
#include "daemon/target_registry.hpp"
#include "daemon/timeline_collector.hpp"
#include "http/http_server.hpp"

namespace bamboohoist {

/// Serves the operators' HTTP interface: status, manifest, metrics, time line, apply, drain and
/// release.
class operators_api : public child
{
public:
    operators_api(const control_context& context, membership& members, configuration& config,
                  apply_coordinator& coordinator, target_registry& targets,
                  stop_plan_executor& stop_executor, timeline_collector& timeline,
                  quarantine_releaser& releaser, control_link& link);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    std::uint16_t port() const;

private:
    using handler = void (operators_api::*)(const exchange_ptr&);

    /// One method and path of the interface and its handler.
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
    /// Handles a drain request for a target of this node, from an operator or from another node.
    std::optional<std::string> handle_drain(std::string_view body);

    static const path_row paths[];

    const control_context& context_;
    membership& members_;
    configuration& config_;
    apply_coordinator& coordinator_;
    target_registry& targets_;
    stop_plan_executor& stop_executor_;
    timeline_collector& timeline_collector_;
    quarantine_releaser& releaser_;
    control_link& link_;
    http_server server_;
};

} // namespace bamboohoist

#endif
