#ifndef BAMBOOHOIST_POLICY_PENDING_FETCHES_HPP
#define BAMBOOHOIST_POLICY_PENDING_FETCHES_HPP

#include "core/clock.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// Decides from whom a newer revision is fetched while other fetches are under way.
///
/// A peer whose datagrams arrive may still be unable to deliver: it is frozen, overloaded, or its
/// path works in one direction only. It delays neither what the store delivers nor, for longer than
/// a short time, a fetch from another peer.
class pending_fetches
{
public:
    /// Begins a fetch from the store unless one is pending already.
    bool begin_from_store(instant now);

    /// Begins a fetch from a peer unless one from it is pending, another peer was asked only just
    /// now, too many are pending, or the peer has failed to deliver recently.
    bool begin_from_peer(std::string_view peer, instant now);

    /// Ends a fetch and returns when it began.
    std::optional<instant> end_from_store();
    std::optional<instant> end_from_peer(std::string_view peer, bool delivered, instant now);

    bool store_pending() const;

private:
    struct peer_time
    {
        std::string peer_;
        instant at_;
    };

    std::optional<instant> store_begun_;
    std::vector<peer_time> begun_; ///< Pending fetches from peers, the latest one last.
    std::vector<peer_time> failed_;
};

} // namespace bamboohoist

#endif
