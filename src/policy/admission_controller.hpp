#ifndef BAMBOOHOIST_POLICY_ADMISSION_CONTROLLER_HPP
#define BAMBOOHOIST_POLICY_ADMISSION_CONTROLLER_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboohoist {

/// A request for a slot of one target.
struct admission_request
{
    std::uint64_t ticket_ = 0; ///< Chosen by the caller of `request_slot()`; unique.
    std::string_view organisation_;
    double share_ = 1.0; ///< Weight of the organisation under overload.
    instant deadline_;
    duration expected_run_time_{}; ///< Typical time in a slot; zero uses this target's average.
};

/// The result of a request for a slot.
enum class admission_result
{
    admitted, ///< The request holds a slot.
    queued,   ///< The request waits for a slot.
    shed,     ///< The request is refused and was not run.
};

/// The decision on one request for a slot.
struct admission_decision
{
    admission_result result_ = admission_result::shed;
    std::optional<std::uint64_t> displaced_ticket_; ///< Queued ticket that is shed to make space.
};

/// Manages the slots of one target and a short queue for them. A free slot goes to the organisation
/// that has received the least service relative to its share, and within an organisation to the
/// earliest deadline. A full queue sheds a request of the organisation with the largest weighted
/// part of the queue, or else the request of the same organisation with the latest deadline, which
/// has the most time to run on another target.
///
/// This handles long requests that fill the slots while short requests with short deadlines, on
/// which other requests depend, arrive between them, and requests that hang in their slots. The
/// wait for a slot is estimated from the expected run time of each queued request, and slots of
/// stalled requests are not counted as available. Memory is bounded by the slots and the queue.
class admission_controller
{
public:
    admission_controller(std::uint32_t slots, std::uint32_t queue_limit);

    admission_decision request_slot(const admission_request& slot_request, instant now);

    /// Releases a slot. `service_time` is the time that the request held it and updates the average
    /// service time; zero is ignored.
    void release(duration service_time);

    /// Sets how many running requests are stalled. Their slots are not expected to become free.
    void set_stalled_count(std::uint32_t count);

    /// Gives a free slot to the next queued request and returns its ticket. Call it after a release
    /// until it returns empty.
    std::optional<std::uint64_t> admit_next(instant now);

    /// Removes and returns the queued tickets that did not get a slot in time. Their remaining time
    /// is still enough to run on another target.
    std::vector<std::uint64_t> take_expired(instant now);

    /// The time at which the next queued ticket expires; empty when none is queued.
    std::optional<instant> next_expiry() const;

    /// Removes a queued ticket. False when it was not in the queue.
    bool withdraw(std::uint64_t ticket);

    void set_slots(std::uint32_t slots);
    void set_queue_limit(std::uint32_t limit);

    std::uint32_t slots() const;
    std::uint32_t queue_limit() const;
    std::uint32_t running() const;
    std::uint32_t queued() const;

private:
    struct queued_request
    {
        std::uint64_t ticket_;
        std::uint64_t organisation_; ///< Hash of the name.
        double share_;
        instant deadline_;
        duration expected_run_time_;
        instant drop_at_; ///< Expires then, to leave time for another target.
    };

    /// The time until a request with this deadline gets a slot; empty when all slots are stalled.
    std::optional<duration> expected_wait(instant deadline) const;
    /// The queued request of the organisation that is furthest below its share.
    std::size_t find_fairest() const;
    /// The newest queued request of the organisation with the largest weighted part of the queue,
    /// if that is more than this organisation would have.
    std::optional<std::size_t> find_displaceable(std::uint64_t organisation, double share) const;
    /// The queued request with the latest deadline, if it is of the same organisation and its
    /// deadline is later than that of `added`.
    std::optional<std::size_t> find_later_deadline(const queued_request& added) const;
    /// Adds one slot to the service that an organisation has received.
    void record_service(std::uint64_t organisation, double share);

    std::uint32_t slots_;
    std::uint32_t queue_limit_;
    std::uint32_t running_ = 0;
    std::uint32_t stalled_ = 0;
    duration service_time_ = std::chrono::milliseconds(5); ///< Exponentially smoothed.
    std::vector<queued_request> queue_;
    /// Service received divided by the share, for each recently active organisation.
    std::unordered_map<std::uint64_t, double> served_;
    double virtual_time_ = 0.0; ///< Weighted service at the start of the last granted slot.
};

} // namespace bamboohoist

#endif
