#ifndef BAMBOOHOIST_POLICY_FLEET_SURVEY_HPP
#define BAMBOOHOIST_POLICY_FLEET_SURVEY_HPP

#include "core/clock.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace bamboohoist {

/// Decides from when on a started node knows who else is in the fleet. Before that it must not act
/// as one of few nodes, or as the only one.
///
/// The table of a node that itself knows the fleet is complete. After a start of all nodes there is
/// none: then the view counts as complete when no further node has become known for a while. The
/// time counts from the first contact, not from the start, because all nodes may have waited for
/// the same store.
class fleet_survey
{
public:
    /// The store has listed the nodes; `others` of them besides this one. `itself`: this one too,
    /// so that its process and perhaps others were ended without leaving.
    void on_listed(std::size_t others, bool itself, instant now);

    /// This node knows so many present peers.
    void on_peers(std::size_t peers, instant now);

    /// The table of a peer was merged. `peer_knows_fleet`: that peer's own view is complete.
    void on_table(bool peer_knows_fleet);

    /// True from when on the view is complete; it then stays so.
    bool is_complete(instant now);

    /// Among how many nodes to divide what the fleet may spend while it is not known; 0 when that
    /// is not known either. After a kill of all nodes the store still lists them.
    std::size_t provisional_parts() const;

    /// Which rule made the view complete.
    std::string_view reason() const;

private:
    bool is_quiet(instant now) const;

    std::optional<instant> contact_; ///< When the store or a peer was first heard of.
    instant last_new_;               ///< When the last peer became known.
    std::size_t peers_ = 0;
    std::size_t most_peers_ = 0;
    bool listed_ = false; ///< The store has listed the nodes.
    std::size_t parts_ = 0;
    bool complete_ = false;
    std::string_view reason_;
};

} // namespace bamboohoist

#endif
