#ifndef BAMBOOHOIST_DAEMON_TARGET_REGISTRY_HPP
#define BAMBOOHOIST_DAEMON_TARGET_REGISTRY_HPP

#include "core/supervisor.hpp"
#include "daemon/control_context.hpp"
#include "loop/timer.hpp"
#include "policy/local_target.hpp"
#include "policy/member.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bamboohoist {

/// The backend servers of this VM: what they announced, what operators stopped and what the
/// guard found out about them.
class target_registry : public child
{
public:
    using listener = std::function<void()>;

    target_registry(const control_context& context, listener on_change);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Takes an announcement or its renewal. One that is older than what is known changes nothing.
    void announce(local_target target);

    /// Forgets a target that has announced its end, by its identifier or its instance's name.
    void deregister(const local_target& target);

    void remove(std::string_view id, std::string_view why);

    /// How long an announcement holds without renewal.
    duration announcement_lease() const;

    /// Stops or resumes sending work to a target. `why` names the plan or the operator.
    void set_stopped(std::string_view id, bool is_stopped, std::string_view why);

    /// Tells the fleet that a target is to stop as soon as the floor allows.
    void set_stop_wanted(std::string_view id, bool wanted);

    /// All targets of this node leave.
    void stop_all(std::string_view why);

    /// The guard's verdict, 0 to 1.
    void set_weight(std::string_view id, double weight, std::string_view rule,
                    std::string_view evidence);

    bool contains(std::string_view id) const;

    /// What tells this life of a target from its earlier ones; empty for an unknown target.
    std::string incarnation(std::string_view id) const;
    bool is_stopped(std::string_view id) const;
    std::vector<local_target> local() const;
    std::vector<target_record> records() const;

private:
    struct entry
    {
        local_target target_;
        instant renewed_;
        bool stopped_ = false;
        bool stop_wanted_ = false;
        double weight_ = 1.0;
    };

    /// An instance that has announced its end; late announcements of it count no more.
    struct ended_instance
    {
        std::string instance_;
        std::int64_t started_ms_ = 0;
        instant at_;
    };

    bool has_ended(const local_target& target) const;
    /// An address belongs to the target that started last at it.
    bool settle_address(const local_target& target);
    void add(local_target target);
    void replace(entry& known, local_target target);
    void expire();
    void record_event(std::string_view id, std::string_view what, std::string_view rule,
                      std::string_view evidence);

    const control_context& context_;
    listener on_change_;
    std::map<std::string, entry, std::less<>> targets_;
    std::vector<ended_instance> ended_;
    bool all_stopped_ = false;
    timer expiry_timer_;
};

} // namespace bamboohoist

#endif
