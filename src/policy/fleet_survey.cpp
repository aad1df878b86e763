#include "policy/fleet_survey.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// Nodes that start together have heard of one another's entries or updates after this time.
constexpr duration min_time = std::chrono::seconds(1);
/// With this long no further node, the others have been found: a started node asks one peer for its
/// table every 200 ms.
constexpr duration quiet_time = std::chrono::milliseconds(600);
/// Nodes that go on joining do not postpone the end longer.
constexpr duration max_time = std::chrono::seconds(5);
/// A node that nobody replies to takes itself for the only one after this time, whatever the store
/// lists: entries of living nodes may have ended with their leases.
constexpr duration lonely_time = std::chrono::seconds(3);

} // namespace

void fleet_survey::on_listed(std::size_t others, bool itself, instant now)
{
    const bool first = !listed_;
    if ((first && itself) || parts_ > 0)
    {
        parts_ = std::max(parts_, others + 1);
    }
    listed_ = true;
    contact_ = contact_.value_or(now);
}

void fleet_survey::on_peers(std::size_t peers, instant now)
{
    peers_ = peers;
    if (peers > most_peers_)
    {
        most_peers_ = peers;
        last_new_ = now;
        contact_ = contact_.value_or(now);
    }
}

void fleet_survey::on_table(bool peer_knows_fleet)
{
    if (peer_knows_fleet && !complete_)
    {
        complete_ = true;
        reason_ = "a peer that knows the fleet has sent its table";
    }
}

bool fleet_survey::is_complete(instant now)
{
    if (!complete_ && is_quiet(now))
    {
        complete_ = true;
        reason_ = peers_ > 0 ? "no further node has become known for a while"
                             : "the store lists no other node that replies";
    }
    return complete_;
}

std::size_t fleet_survey::provisional_parts() const
{
    return parts_ == 0 ? 0 : std::max(parts_, most_peers_ + 1);
}

std::string_view fleet_survey::reason() const
{
    return reason_;
}

bool fleet_survey::is_quiet(instant now) const
{
    if (!contact_)
    {
        return false;
    }
    const duration known_for = now - *contact_;
    if (peers_ == 0)
    {
        return listed_ && known_for >= lonely_time;
    }
    return known_for >= max_time || (known_for >= min_time && now - last_new_ >= quiet_time);
}

} // namespace bamboohoist
