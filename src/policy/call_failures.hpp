#ifndef BAMBOOHOIST_POLICY_CALL_FAILURES_HPP
#define BAMBOOHOIST_POLICY_CALL_FAILURES_HPP

#include "core/clock.hpp"

#include <array>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace bamboohoist {

/// The last failures of requests that began at this VM. A backend server's own calls begin here
/// too, and it fails the request that needed them at once: its error then tells nothing about
/// itself. The load pattern that it answers: targets of one service hang, and the healthy targets
/// that call them would be ejected for it. May be used from any thread.
class call_failures
{
public:
    /// A request to this service has failed.
    void record(std::string_view service, instant now);

    /// True when an error of a target of this service may come from a failed call. Each failure
    /// explains one error at most, and none of its own service, so that a target which fails by
    /// itself does not go on unseen.
    bool attribute_error(std::string_view service, instant now);

private:
    struct failure
    {
        std::uint64_t service_ = 0; ///< Hash of the name.
        instant at_;                ///< Zero when there is none.
    };

    static constexpr std::size_t remembered = 16;

    std::mutex mutex_; ///< Guards what follows.
    std::array<failure, remembered> failures_{};
    std::size_t next_ = 0;
};

} // namespace bamboohoist

#endif
