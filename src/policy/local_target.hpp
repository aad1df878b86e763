#ifndef BAMBOOHOIST_POLICY_LOCAL_TARGET_HPP
#define BAMBOOHOIST_POLICY_LOCAL_TARGET_HPP

#include <cstdint>
#include <string>

namespace bamboohoist {

/// A backend server of this VM, as it announced itself.
struct local_target
{
    std::string id_; ///< `service@address:port`.
    std::string service_;
    std::string address_;     ///< `address:port` of its HTTP server.
    std::string incarnation_; ///< Changes with each start of the backend server.
    std::uint32_t slots_ = 1;
    bool leaving_ = false;

    bool operator==(const local_target&) const = default;
};

} // namespace bamboohoist

#endif
