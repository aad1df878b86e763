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

/// How a request may be run after what is known about its like.
enum class crash_decision
{
    run,
    isolate, ///< It was in hand at one crash: run it with no other suspect on the target.
    refuse,  ///< It was in hand at two crashes: it is quarantined.
};

/// Remembers which requests, by fingerprint, were in hand when targets died. Bounded: the oldest
/// entries go first.
class crash_history
{
public:
    crash_history(std::size_t capacity, duration memory);

    /// The requests were in hand when this target process died. `crash` names the death, so that
    /// hearing of it twice counts once. Returns the newly quarantined.
    std::vector<std::uint64_t>
    record_crash(std::string_view crash, std::span<const std::uint64_t> fingerprints, instant now);

    crash_decision evaluate(std::uint64_t fingerprint, instant now) const;

    /// A suspect has run to its end without harm.
    void clear(std::uint64_t fingerprint);

    /// An operator releases a quarantined request.
    void release(std::uint64_t fingerprint);

    std::size_t size() const;

private:
    struct entry
    {
        std::vector<std::uint64_t> crashes_; ///< Hashes of the names of the crashes.
        instant last_;
    };

    void make_room(instant now);

    std::size_t capacity_;
    duration memory_;
    std::unordered_map<std::uint64_t, entry> entries_;
};

/// The fingerprint of a request: what it asks of which service, without what differs between two
/// sends of the same.
std::uint64_t fingerprint_of(std::string_view service, std::string_view method,
                             std::string_view target, std::string_view body);

} // namespace bamboohoist

#endif
