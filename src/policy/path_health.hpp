#ifndef BAMBOOHOIST_POLICY_PATH_HEALTH_HPP
#define BAMBOOHOIST_POLICY_PATH_HEALTH_HPP

#include "core/clock.hpp"

#include <cstdint>

namespace bamboohoist {

/// What an ingress makes of attempts that bring no answer: the path to a target is paused when
/// nothing at all comes over it. A target that is silent on a path that speaks is left to the
/// judgement of its guard.
class path_health
{
public:
    /// An attempt took too long. `heard_bytes` is all that ever came over the link. True when the
    /// other side should be asked for a sign of life.
    bool record_timeout(std::uint64_t heard_bytes, instant now);

    /// An attempt had an answer.
    void record_success();

    /// An attempt failed because the link did.
    void record_failure(instant now);

    /// False during a pause, which doubles with each failure in a row.
    bool is_usable(instant now) const;

private:
    std::uint32_t failures_ = 0; ///< In a row.
    std::uint64_t heard_at_doubt_ = 0;
    instant paused_until_;
};

} // namespace bamboohoist

#endif
