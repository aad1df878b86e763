#ifndef BAMBOOHOIST_POLICY_DEPARTURES_HPP
#define BAMBOOHOIST_POLICY_DEPARTURES_HPP

#include "core/clock.hpp"
#include "policy/local_target.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// Holds which instances of this VM have left, and decides which announcements were sent before
/// that.
///
/// An announced end may not say which start of the instance has ended, and this node may not have
/// heard of that start. Then every start up to the arrival of the announced end is taken for it.
/// Starts are told by the instance's clock and the arrival by this node's, so a start that is not
/// clearly later has to prove itself: it goes on announcing itself, which one that has ended does
/// not do.
class departures
{
public:
    void add(departed_instance departed, instant now);

    /// Adds one that another process of this node has noted.
    void restore(departed_instance departed, instant now);

    /// True when an announcement was sent before its sender left, or may have been.
    bool rules_out(const local_target& announced, instant now);

    /// What is known already of an end that arrives without a start, of an instance of which
    /// `started_ms` is the latest start that was heard; empty when it says something new. Targets
    /// announce their end again when they exit.
    std::optional<departed_instance> find_same_end(std::string_view instance,
                                                   std::int64_t started_ms, instant now) const;

    /// The latest start of an instance that has announced itself without proof that it is a new
    /// one; 0 when there is none.
    std::int64_t latest_unproven_start(std::string_view instance) const;

    void forget_old(instant now);

private:
    /// What a start has announced that may be the one that has ended.
    struct unproven_start
    {
        std::int64_t started_ms_ = 0;
        std::size_t announcements_ = 0;
        std::uint64_t sequence_ = 0; ///< Of the latest announcement.
        instant first_at_;
    };

    struct record
    {
        departed_instance departed_;
        instant at_;
        bool restored_ = false;
        bool followed_ = false; ///< A later start was heard of.
        std::optional<unproven_start> unproven_;
        std::optional<std::int64_t> proven_ms_; ///< A start that was found to be a new one.
    };

    void insert(record added);
    static bool rules_out(record& known, const local_target& announced, instant now);
    static bool proves_itself(record& known, const local_target& announced, instant now);

    std::vector<record> records_;
};

} // namespace bamboohoist

#endif
