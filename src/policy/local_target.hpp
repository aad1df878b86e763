#ifndef BAMBOOHOIST_POLICY_LOCAL_TARGET_HPP
#define BAMBOOHOIST_POLICY_LOCAL_TARGET_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohoist {

/// A backend server of this VM, as described by its announcement.
struct local_target
{
    std::string id_; ///< `service@address:port`.
    std::string service_;
    std::string address_;     ///< `address:port` of its HTTP server.
    std::string instance_;    ///< The name that it gives itself; empty when it has none.
    std::string incarnation_; ///< Changes with each start of the backend server.
    std::uint32_t slots_ = 1;
    bool leaving_ = false;
    std::int64_t started_ms_ = 0; ///< Milliseconds since the Unix epoch; 0 when not announced.
    std::uint64_t sequence_ = 0;  ///< Rises with each announcement; 0 when not announced.
};

/// The identifier of a target in the fleet.
inline std::string target_id(std::string_view service, std::string_view address)
{
    return std::string(service) + "@" + std::string(address);
}

/// True when both announcements describe the same state. The sequence number may differ.
inline bool same_announcement(const local_target& left, const local_target& right)
{
    return left.id_ == right.id_ && left.instance_ == right.instance_ &&
           left.incarnation_ == right.incarnation_ && left.slots_ == right.slots_ &&
           left.leaving_ == right.leaving_;
}

/// An instance that has announced that it leaves or has ended.
struct departed_instance
{
    std::string instance_;
    std::int64_t started_ms_ = 0;
    std::uint64_t sequence_ = 0; ///< Of the announcement that it leaves.
    bool ended_ = false;         ///< It has announced its end, not only its leaving.
    /// When the announced end does not say which start has ended: it may be any up to this one, by
    /// the wall clock of the node beside it. 0 when the start is known.
    std::int64_t latest_start_ms_ = 0;
};

/// What a node knows of a target that has announced its end.
struct ended_target
{
    departed_instance departed_;
    bool was_leaving_ = false; ///< It had announced before that it leaves.
};

/// True when an announcement was sent before its sender announced that it leaves or has ended, by
/// what is known for certain of its start.
inline bool precedes(const local_target& announced, const departed_instance& departed)
{
    if (announced.instance_ != departed.instance_ || announced.started_ms_ > departed.started_ms_)
    {
        return false;
    }
    return departed.ended_ || announced.started_ms_ < departed.started_ms_ ||
           (!announced.leaving_ && announced.sequence_ <= departed.sequence_);
}

/// True when `received` is older than `known`: it comes from an earlier start of the backend
/// server, or is an earlier announcement of the same start. Announcements without a start time are
/// processed in the order of their arrival.
inline bool is_stale(const local_target& received, const local_target& known)
{
    if (received.started_ms_ != known.started_ms_)
    {
        return received.started_ms_ < known.started_ms_;
    }
    return received.started_ms_ != 0 && received.instance_ == known.instance_ &&
           received.sequence_ <= known.sequence_;
}

} // namespace bamboohoist

#endif
