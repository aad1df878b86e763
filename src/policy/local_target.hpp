#ifndef BAMBOOHOIST_POLICY_LOCAL_TARGET_HPP
#define BAMBOOHOIST_POLICY_LOCAL_TARGET_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohoist {

/// A backend server of this VM, as it announced itself.
struct local_target
{
    std::string id_; ///< `service@address:port`.
    std::string service_;
    std::string address_;     ///< `address:port` of its HTTP server.
    std::string instance_;    ///< Its own name for itself; empty when it has none.
    std::string incarnation_; ///< Changes with each start of the backend server.
    std::uint32_t slots_ = 1;
    bool leaving_ = false;
    std::int64_t started_ms_ = 0; ///< Milliseconds since the Unix epoch; 0 when not told.
    std::uint64_t sequence_ = 0;  ///< Rises with each announcement; 0 when not told.
};

/// The product's name of a target.
inline std::string target_id(std::string_view service, std::string_view address)
{
    return std::string(service) + "@" + std::string(address);
}

/// True when nothing but the sequence number differs.
inline bool same_announcement(const local_target& left, const local_target& right)
{
    return left.id_ == right.id_ && left.instance_ == right.instance_ &&
           left.incarnation_ == right.incarnation_ && left.slots_ == right.slots_ &&
           left.leaving_ == right.leaving_;
}

/// True when `heard` was said before `known`: by an earlier start, or earlier by the same one.
/// Announcements without a start or a sequence number are taken in the order of their arrival.
inline bool is_stale(const local_target& heard, const local_target& known)
{
    if (heard.started_ms_ != known.started_ms_)
    {
        return heard.started_ms_ < known.started_ms_;
    }
    return heard.started_ms_ != 0 && heard.instance_ == known.instance_ &&
           heard.sequence_ <= known.sequence_;
}

} // namespace bamboohoist

#endif
