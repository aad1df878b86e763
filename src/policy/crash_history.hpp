#ifndef BAMBOOHOIST_POLICY_CRASH_HISTORY_HPP
#define BAMBOOHOIST_POLICY_CRASH_HISTORY_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboohoist {

/// How a request may be run, given the crashes during earlier requests with its fingerprint.
enum class crash_decision
{
    run,
    isolate, ///< In flight at one crash: must not run beside another suspect on a target.
    refuse,  ///< In flight at two crashes: quarantined.
};

/// Records which requests, by fingerprint, were in flight when targets crashed. The number of
/// entries is bounded; the oldest are dropped first.
class crash_history
{
public:
    crash_history(std::size_t capacity, duration retention);

    /// Records the requests that were in flight when a target process crashed. `crash_id`
    /// identifies the crash, so that a repeated report does not count again. Returns the
    /// fingerprints that are quarantined by it.
    std::vector<std::uint64_t> record_crash(std::string_view crash_id,
                                            std::span<const std::uint64_t> fingerprints,
                                            instant now);

    crash_decision evaluate(std::uint64_t fingerprint, instant now) const;

    /// Removes a suspect that completed without a crash. Quarantined requests stay.
    void clear_suspect(std::uint64_t fingerprint);

    /// Removes a quarantined request, at an operator's request.
    void release(std::uint64_t fingerprint);

    std::size_t size() const;

private:
    struct entry
    {
        std::vector<std::uint64_t> crashes_; ///< Hashes of the crash identifiers.
        instant last_crash_at_;
    };

    void evict_if_full(instant now);

    std::size_t capacity_;
    duration retention_;
    std::unordered_map<std::uint64_t, entry> entries_;
};

/// The fingerprint of a request. It covers the service, the method, the target and the body, and
/// leaves out what differs between two sends of the same request.
std::uint64_t fingerprint_of(std::string_view service, std::string_view method,
                             std::string_view target, std::string_view body);

} // namespace bamboohoist

#endif
