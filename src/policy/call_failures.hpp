#ifndef BAMBOOHOIST_POLICY_CALL_FAILURES_HPP
#define BAMBOOHOIST_POLICY_CALL_FAILURES_HPP

#include "core/clock.hpp"

#include <array>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace bamboohoist {

/// Records recent failed requests that were sent from this VM. They include the calls of the VM's
/// own backend servers. When such a call fails, the backend server usually fails the request that
/// depends on it at once, and that error is no evidence against the backend server itself. Without
/// this, hanging targets of one service would get the healthy targets that call them ejected.
/// Thread-safe.
class call_failures
{
public:
    /// Records a failed request to a service.
    void record(std::string_view service, instant now);

    /// Attributes an error of a target of this service to a recent failed call and consumes that
    /// failure. False when there is none. A failure accounts for at most one error, and never for
    /// one of the service that was called, so that a target that fails by itself is still detected.
    bool attribute_error(std::string_view service, instant now);

private:
    struct failure
    {
        std::uint64_t service_ = 0; ///< Hash of the name.
        instant at_;                ///< Zero when the entry is unused.
    };

    static constexpr std::size_t max_failures = 16;

    std::mutex mutex_; ///< Guards the members below.
    std::array<failure, max_failures> failures_{};
    std::size_t next_ = 0;
};

} // namespace bamboohoist

#endif
