#ifndef BAMBOOHOIST_DAEMON_STOP_PLAN_EXECUTOR_HPP
#define BAMBOOHOIST_DAEMON_STOP_PLAN_EXECUTOR_HPP

#include "daemon/configuration.hpp"
#include "daemon/membership.hpp"
#include "daemon/target_registry.hpp"
#include "policy/stop_rule.hpp"

#include <map>
#include <string>

namespace bamboohoist {

/// Stops this node's targets as the manifest's plans and the operators' orders want it, as far as
/// the floors allow, and lets them return.
class stop_plan_executor : public child
{
public:
    stop_plan_executor(const control_context& context, const membership& members,
                       const configuration& config, target_registry& targets);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// An operator's order for one target of this node.
    void request(std::string_view target, bool resume, const day_note& note);

private:
    /// Why a target is to stop.
    struct wish
    {
        std::string rule_;
        day_note note_;
        instant since_;
        std::string last_refusal_;
    };

    /// An order holds for one life of its target: what was restarted is to work again.
    struct order_entry
    {
        day_note note_;
        std::string incarnation_;
    };

    void tick();
    void consider(const target_record& target);
    void begin(const target_record& target, wish added);
    void end(const target_record& target);
    void try_stop(const target_record& target, wish& wanted);
    void record_event(std::string_view target, std::string_view what, const wish& wanted,
                      std::string_view evidence);

    const control_context& context_;
    const membership& members_;
    const configuration& config_;
    target_registry& targets_;
    std::map<std::string, wish, std::less<>> wishes_;
    std::map<std::string, order_entry, std::less<>> orders_; ///< By target.
    timer tick_timer_;
};

} // namespace bamboohoist

#endif
