#ifndef BAMBOOHOIST_POLICY_INTRODUCTIONS_HPP
#define BAMBOOHOIST_POLICY_INTRODUCTIONS_HPP

#include "core/clock.hpp"

#include <cstddef>
#include <optional>

namespace bamboohoist {

/// What to do in one round of introductions.
struct introduction_round
{
    std::size_t count_ = 0;        ///< Unknown nodes to introduce this one to.
    std::optional<duration> next_; ///< Time until the next round; empty when there is none.
};

/// Decides how often a node that can read the list of nodes in the store introduces itself to the
/// listed nodes that it does not know.
///
/// After all nodes have restarted, the store may serve only some of them. These are the only ones
/// that can tell the others who is in the fleet and which configuration is in force. While the
/// store serves everybody, gossip makes all nodes known before the first round, and the entries
/// that remain belong to nodes that are gone, so the rounds become rarer and end.
class introductions
{
public:
    /// Begins anew after the list was read. Returns the time until the first round.
    duration restart();

    /// `unknown` is the number of listed nodes that are not known.
    introduction_round next_round(std::size_t unknown);

private:
    std::size_t rounds_ = 0;
    duration pause_{};
};

} // namespace bamboohoist

#endif
