#ifndef BAMBOOHOIST_DAEMON_TARGET_SELECTOR_HPP
#define BAMBOOHOIST_DAEMON_TARGET_SELECTOR_HPP

#include "daemon/ingress.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohoist {

/// The request for which a target is selected.
struct selection
{
    const fleet_ptr& fleet_;    ///< Snapshot with the revision under which it was routed.
    std::uint32_t service_ = 0; ///< Index in the manifest of that revision.
    std::string_view organisation_;
    std::span<const std::string> tried_targets_;
    bool last_attempt_ = false; ///< No other attempt can follow.
};

/// A selected target. The reference is valid until the ingress gets its next snapshot.
struct selected_target
{
    const fleet_target& target_;
    target_choice choice_;
    bool has_free_slot_ = false; ///< A second attempt there would delay no first ones.
};

/// Selects targets by what an ingress knows of them: the newest snapshot of the fleet and its own
/// statistics.
class target_selector
{
public:
    explicit target_selector(ingress& owner);

    /// Selects a target that was not tried yet. Empty when none may be used.
    std::optional<selected_target> select(const selection& wanted);

private:
    /// Whether targets whose network path failed recently are considered.
    enum class path_filter
    {
        healthy,
        any,
    };

    std::optional<selected_target> select_by_path(const selection& wanted, path_filter paths,
                                                  const choice_limits& limits) const;
    candidate make_candidate(const selection& wanted, const fleet_target& target,
                             path_filter paths) const;
    const service_targets& targets_of(const selection& wanted) const;
    choice_limits limits_of(const selection& wanted);
    /// Refills the budget of bytes to other regions. True when some of it is left.
    bool other_region_allowed(const selection& wanted);

    ingress& owner_;
};

} // namespace bamboohoist

#endif
