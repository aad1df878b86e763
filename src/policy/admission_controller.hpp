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

/// Who asks for a slot, and until when it is of use.
struct admission_request
{
    std::uint64_t ticket_ = 0; ///< Chosen by the caller of the class; unique.
    std::string_view organisation_;
    double share_ = 1.0;
    instant deadline_;
    duration run_time_{}; ///< Usual for such a request; zero takes what is usual here.
};

/// What to do with a request.
enum class admission_result
{
    run,    ///< It holds a slot now.
    queued, ///< It waits for a slot.
    shed,   ///< It is refused; it was not run.
};

/// The answer to one request for a slot.
struct admission_decision
{
    admission_result result_ = admission_result::shed;
    std::optional<std::uint64_t> displaced_ticket_; ///< A queued ticket that is shed in its place.
};

/// The slots of one target and the short queue before them. Slots go to the organisation that
/// has had the least service for its share, and within it to the earliest deadline; a full queue
/// sheds from the organisation that holds most of it, or what has most time to go elsewhere.
///
/// The load pattern that it answers: long requests fill the slots while short ones with short
/// deadlines, which other requests wait for, arrive between them; some of those in the slots hang.
/// Each is judged by its own usual time, and slots that are held by silent requests do not count.
/// The state is bounded by the slots and the queue.
class admission_controller
{
public:
    admission_controller(std::uint32_t slots, std::uint32_t queue_limit);

    admission_decision request(const admission_request& wanted, instant now);

    /// Gives a slot back. `service_time` is how long it was held, and is learnt from unless zero.
    void release(duration service_time);

    /// How many of the running requests are silent for too long.
    void set_stalled_count(std::uint32_t count);

    /// Takes the next queued ticket that now holds a slot. Call until empty after a release.
    std::optional<std::uint64_t> next(instant now);

    /// Queued tickets whose turn has not come in time; they are dropped. What is left of their
    /// time is enough for another target.
    std::vector<std::uint64_t> take_expired(instant now);

    /// When the next queued ticket will have to be dropped; empty when none is queued.
    std::optional<instant> next_expiry() const;

    /// Withdraws a queued ticket. False when it was not in the queue.
    bool withdraw(std::uint64_t ticket);

    void set_slots(std::uint32_t slots);
    void set_queue_limit(std::uint32_t limit);

    std::uint32_t slots() const;
    std::uint32_t queue_limit() const;
    std::uint32_t running() const;
    std::uint32_t queued() const;

private:
    struct waiting
    {
        std::uint64_t ticket_;
        std::uint64_t organisation_; ///< Hash of the name.
        double share_;
        instant deadline_;
        duration run_time_;
        instant give_back_; ///< Not started by then, it has to go elsewhere.
    };

    std::optional<duration> expected_wait(instant deadline) const;
    std::size_t fairest() const;
    std::optional<std::size_t> displaceable(std::uint64_t organisation, double share) const;
    std::optional<std::size_t> more_patient(const waiting& wanted) const;
    void charge(std::uint64_t organisation, double share);

    std::uint32_t slots_;
    std::uint32_t queue_limit_;
    std::uint32_t running_ = 0;
    std::uint32_t stalled_ = 0;
    duration service_time_ = std::chrono::milliseconds(5); ///< Smoothed.
    std::vector<waiting> queue_;
    /// Service received for the share, of organisations with requests in the queue or lately.
    std::unordered_map<std::uint64_t, double> served_;
    double virtual_time_ = 0.0;
};

} // namespace bamboohoist

#endif
