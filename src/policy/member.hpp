#ifndef BAMBOOHOIST_POLICY_MEMBER_HPP
#define BAMBOOHOIST_POLICY_MEMBER_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace bamboohoist {

/// The state of a node as known to the fleet. The order matters: of two records of the same
/// version, the one with the later state in this list wins.
enum class member_state : std::uint8_t
{
    alive,
    suspect,
    dead,
    left, ///< Left the fleet; final for this incarnation.
};

/// A backend server as its node announces it to the fleet.
struct target_record
{
    std::string id_; ///< `service@address:port`.
    std::string service_;
    std::uint32_t slots_ = 1;
    bool leaving_ = false;
    bool stop_wanted_ = false;  ///< A plan or an operator wants it to stop.
    std::uint8_t weight_ = 100; ///< Health weight in percent; see `is_ejected_weight()`.

    bool operator==(const target_record&) const = default;
};

/// A node as known to the fleet. Only the node itself raises its incarnation and version.
struct member_record
{
    std::string node_;
    std::string region_;
    std::string domain_;
    std::string guard_address_;     ///< `address:port` of its guard.
    std::string gossip_address_;    ///< `address:port` of its gossip endpoint, UDP and TCP.
    std::uint64_t incarnation_ = 0; ///< Rises with each start; wall-clock milliseconds.
    std::uint64_t version_ = 0;     ///< Rises with each change of this record.
    member_state state_ = member_state::alive;
    std::vector<target_record> targets_;

    bool operator==(const member_record&) const = default;
};

} // namespace bamboohoist

#endif
