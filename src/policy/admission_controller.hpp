#ifndef BAMBOOHOIST_POLICY_ADMISSION_CONTROLLER_HPP
#define BAMBOOHOIST_POLICY_ADMISSION_CONTROLLER_HPP

#include "core/clock.hpp"
#include "policy/admission_order.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
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
    request_rank rank_ = {};
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
    std::optional<std::uint64_t> displaced_ticket_ =
        {};                          ///< Queued ticket that is shed to make space.
    bool displaced_by_rank_ = false; ///< It is shed for its lower rank.
};

/// Manages the slots of one target and a short queue for them. Which request gets a free slot is
/// decided by `admission_order`, and which one a full queue sheds by `find_displacement()`: both by
/// rank, and within a rank by the organisations' shares and the deadlines.
///
/// This handles long requests that fill the slots while short requests with short deadlines, on
/// which other requests depend, arrive between them, and requests that hang in their slots. The
/// wait for a slot is estimated from the expected run time of each queued request, and slots of
/// stalled requests are not counted as available. Queued requests of lower rank do not count in the
/// wait, so a request is never refused because of them. Memory is bounded by the slots and the
/// queue.
class admission_controller
{
public:
    admission_controller(std::uint32_t slots, std::uint32_t queue_limit);

    admission_decision request_slot(const admission_request& slot_request, instant now);

    /// False when the queue is full and holds no request to shed for one of this rank. A request
    /// for which more work must be done before `request_slot()` is then refused.
    bool has_place_for(const request_rank& rank, instant now);

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
    /// The time until a request gets a slot; empty when all slots are stalled.
    std::optional<duration> expected_wait(const queued_request& added) const;

    std::uint32_t slots_;
    std::uint32_t queue_limit_;
    std::uint32_t running_ = 0;
    std::uint32_t stalled_ = 0;
    duration service_time_ = std::chrono::milliseconds(5); ///< Exponentially smoothed.
    std::vector<queued_request> queue_;
    admission_order order_;
};

} // namespace bamboohoist

#endif
