#ifndef BAMBOOHOIST_TESTING_IGNORING_LISTENER_HPP
#define BAMBOOHOIST_TESTING_IGNORING_LISTENER_HPP

#include "daemon/membership.hpp"

namespace bamboohoist::testing {

/// Ignores what membership reports.
class ignoring_listener : public membership_listener
{
public:
    void on_members_changed() override {}
    void on_peer_revision(std::uint64_t, bool, const endpoint&) override {}
    void on_in_force_report(const domain_member&, std::uint64_t) override {}
    void on_remote_crash(std::string_view, std::string_view,
                         std::span<const std::uint64_t>) override
    {
    }
};

} // namespace bamboohoist::testing

#endif
