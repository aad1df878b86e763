#ifndef BAMBOOHOIST_POLICY_CALL_FAILURES_HPP
#define BAMBOOHOIST_POLICY_CALL_FAILURES_HPP

#include "core/clock.hpp"

#include <atomic>

namespace bamboohoist {

/// When this VM's node last failed a request that began here. A backend server's own calls begin
/// here too, and it fails the request that needed them at once: its error then tells nothing about
/// itself. The load pattern that it answers: targets of one service hang, and the healthy targets
/// that call them would be ejected for it. May be used from any thread.
class call_failures
{
public:
    void note(instant now);

    /// True when a failure was noted so lately that a target's error may come from it.
    bool explains_error(instant now) const;

private:
    std::atomic<instant> last_{instant{}};
};

} // namespace bamboohoist

#endif
