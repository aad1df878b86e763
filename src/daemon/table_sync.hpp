#ifndef BAMBOOHOIST_DAEMON_TABLE_SYNC_HPP
#define BAMBOOHOIST_DAEMON_TABLE_SYNC_HPP

#include "daemon/control_link.hpp"
#include "policy/fleet_survey.hpp"
#include "policy/member_table.hpp"

#include <functional>
#include <span>

namespace bamboohoist {

/// Fetches the records that are newer in the member tables of other nodes, and finds out with them
/// from when on this node knows the fleet.
class table_sync
{
public:
    using merger = std::function<void(std::span<const member_record>)>;

    /// `merge` puts fetched records into the table.
    table_sync(const control_context& context, control_link& link, const member_table& table,
               merger merge);

    void start();

    /// Fetches the records that are newer at the node with this gossip address, which need not be
    /// a known member. Does nothing while such exchanges are pending, unless they take long.
    void fetch(const endpoint& gossip);

    /// The same if the tables differ and no exchange was made a short time ago.
    void fetch_if_different(std::uint64_t own_fingerprint, std::uint64_t remote_fingerprint,
                            const endpoint& gossip);

    /// The store has listed so many other nodes, and perhaps this one.
    void on_listed(std::size_t others, bool itself);

    /// See `fleet_survey`.
    std::size_t provisional_parts() const;

    /// True from when on this node knows the fleet; it then stays so.
    bool knows_fleet();

private:
    /// Fetches without asking whether the peer knows the fleet, which those of an earlier version
    /// can't tell.
    void fetch_records(const endpoint& gossip);
    void end(const std::optional<std::vector<member_record>>& records);
    std::optional<std::string> handle_sync(std::string_view body) const;
    std::optional<std::string> handle_survey(std::string_view body);

    const control_context& context_;
    control_link& link_;
    const member_table& table_;
    merger merge_;
    fleet_survey survey_;
    bool known_ = false; ///< That the fleet is known has been recorded.
    instant last_;       ///< When the last exchange began.
    std::size_t pending_ = 0;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
