#ifndef BAMBOOHOIST_POLICY_SHARE_COUNT_HPP
#define BAMBOOHOIST_POLICY_SHARE_COUNT_HPP

#include "core/clock.hpp"

#include <cstddef>

namespace bamboohoist {

/// The number of nodes among which what the fleet may spend is divided into fixed parts. It grows
/// at once and shrinks late: when all nodes leave together, each sees the others go, and must not
/// take over the parts that they are still using.
class share_count
{
public:
    /// Takes the number of nodes that are known now and returns the number of parts.
    std::size_t update(std::size_t nodes, instant now);

private:
    std::size_t parts_ = 1;
    instant seen_at_; ///< When at least so many nodes were last known.
};

} // namespace bamboohoist

#endif
