#ifndef BAMBOOHOIST_POLICY_FAIR_SHARE_HPP
#define BAMBOOHOIST_POLICY_FAIR_SHARE_HPP

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace bamboohoist {

/// Service that organisations have received relative to their shares (start-time fair queueing).
/// The slot goes to the organisation with the smallest `received()`. An organisation that was away
/// starts at the virtual time, so it cannot save up service. Memory is bounded: beyond 256
/// organisations, those that are not ahead of the virtual time are forgotten, and if there are
/// none, the half that has received the least, for which the virtual time goes on.
class fair_share
{
public:
    /// The weighted service that an organisation has received.
    double received(std::uint64_t organisation) const;

    /// True when the organisation has received more than its turn, so that others come first.
    bool is_ahead(std::uint64_t organisation) const;

    /// Adds one slot to the service that an organisation has received.
    void record(std::uint64_t organisation, double share);

    /// The service that one slot amounts to, for an organisation with this share.
    static double weighted_slot(double share);

    std::size_t tracked() const
    {
        return served_.size();
    }

private:
    void forget_least_served();

    std::unordered_map<std::uint64_t, double> served_;
    double virtual_time_ = 0.0; ///< Weighted service at the start of the last granted slot.
};

} // namespace bamboohoist

#endif
