#ifndef BAMBOOHOIST_DAEMON_TARGET_REGISTRY_HPP
#define BAMBOOHOIST_DAEMON_TARGET_REGISTRY_HPP

#include "core/supervisor.hpp"
#include "daemon/control_context.hpp"
#include "loop/timer.hpp"
#include "policy/departures.hpp"
#include "policy/member.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bamboohoist {

/// Holds the targets of this VM: their announcements, whether stop plans or operators have stopped
/// them, and the weights that the guard gives them.
class target_registry : public child
{
public:
    using listener = std::function<void()>;

    target_registry(const control_context& context, listener on_change);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Adds, renews or changes a target by its announcement. An announcement that is older than
    /// the known one is ignored.
    void announce(local_target target);

    /// Removes a target that has announced its end, found by its identifier or by the name of its
    /// instance. Returns what is known of it.
    ended_target deregister(const local_target& target);

    /// Takes over that a target of this node left before the node's start.
    void restore_departure(const departed_instance& departed);

    void remove(std::string_view id, std::string_view why);

    /// How long an announcement is valid without renewal.
    duration announcement_lease() const;

    /// Stops or resumes sending requests to a target. `why` names the plan or the operator.
    void set_stopped(std::string_view id, bool stopped, std::string_view why);

    /// Sets whether the fleet sees that the target is to stop as soon as the floor allows.
    void set_stop_wanted(std::string_view id, bool wanted);

    /// Stops all targets, also those that announce themselves later.
    void stop_all(std::string_view why);

    /// Sets the weight that the guard gives a target, from 0 (ejected) to 1.
    void set_weight(std::string_view id, double weight, std::string_view rule,
                    std::string_view evidence);

    bool contains(std::string_view id) const;

    /// Identifies the present run of a target among its restarts; empty for an unknown target.
    std::string incarnation(std::string_view id) const;
    bool is_stopped(std::string_view id) const;

    /// The targets for this node's guard.
    std::vector<local_target> local_targets() const;

    /// The targets for this node's record in the member table.
    std::vector<target_record> target_records() const;

private:
    struct entry
    {
        local_target target_;
        instant renewed_;
        bool stopped_ = false;
        bool stop_wanted_ = false;
        double weight_ = 1.0;
    };

    /// What an announced end says, together with the entry of its target, if there is one.
    ended_target describe_end(const local_target& target, const entry* known) const;
    /// Removes other targets at the address of a new one. False when one of them has started later
    /// than it: an address belongs to the target that started there last.
    bool resolve_address_conflict(const local_target& target);
    void add(local_target target);
    void replace(entry& known, local_target target);
    void expire();
    void record_event(std::string_view id, std::string_view what, std::string_view rule,
                      std::string_view evidence);

    const control_context& context_;
    listener on_change_;
    std::map<std::string, entry, std::less<>> targets_;
    departures departures_; ///< Late announcements of these are ignored.
    bool all_stopped_ = false;
    timer expiry_timer_;
};

} // namespace bamboohoist

#endif
