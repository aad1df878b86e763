#ifndef BAMBOOHOIST_DAEMON_STOP_PLAN_EXECUTOR_HPP
#define BAMBOOHOIST_DAEMON_STOP_PLAN_EXECUTOR_HPP

#include "daemon/configuration.hpp"
#include "daemon/membership.hpp"
#include "daemon/target_registry.hpp"
#include "policy/stop_rule.hpp"

#include <map>
#include <string>

namespace bamboohoist {

/// Stops this node's targets while a stop plan of the manifest or a drain request of an operator
/// applies to them and the floor of their service allows it, and resumes them afterwards.
class stop_plan_executor : public child
{
public:
    stop_plan_executor(const control_context& context, const membership& members,
                       const configuration& config, target_registry& targets);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Records an operator's request to drain one target of this node, or removes it on `resume`.
    void request_drain(std::string_view target, bool resume, const day_note& note);

private:
    /// Why a target is to stop.
    struct stop_intent
    {
        std::string rule_;
        day_note note_;
        instant since_;
        std::string last_refusal_; ///< Recorded last, to record each reason once.
    };

    /// Applies until its target restarts: a restarted target gets requests again.
    struct drain_request
    {
        day_note note_;
        std::string incarnation_;
    };

    void check_targets();
    void update_target(const target_record& target);
    void add_intent(const target_record& target, stop_intent added);
    void remove_intent(const target_record& target);
    void try_stop(const target_record& target, stop_intent& intent);
    void record_event(std::string_view target, std::string_view what, const stop_intent& intent,
                      std::string_view evidence);

    const control_context& context_;
    const membership& members_;
    const configuration& config_;
    target_registry& targets_;
    std::map<std::string, stop_intent, std::less<>> intents_;          ///< By target.
    std::map<std::string, drain_request, std::less<>> drain_requests_; ///< By target.
    timer check_timer_;
};

} // namespace bamboohoist

#endif
