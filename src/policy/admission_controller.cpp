#include "policy/admission_controller.hpp"

#include "core/hash.hpp"
#include "policy/queue_displacement.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr double service_time_gain = 0.1;
/// Time to reserve for the run of a queued request, as a multiple of its typical run time: half of
/// all requests take longer than that.
constexpr double run_margin = 1.3;
/// Part of its spare time that a request may wait at one target; the rest is left for others.
constexpr double max_wait_fraction = 0.5;

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace

admission_controller::admission_controller(std::uint32_t slots, std::uint32_t queue_limit)
    : slots_(slots), queue_limit_(queue_limit)
{
}

admission_decision admission_controller::request_slot(const admission_request& slot_request,
                                                      instant now)
{
    queued_request added{slot_request.ticket_,
                         hash_text(slot_request.organisation_),
                         slot_request.share_,
                         slot_request.rank_,
                         slot_request.deadline_,
                         slot_request.expected_run_time_ > duration::zero()
                             ? slot_request.expected_run_time_
                             : service_time_,
                         now};
    if (running_ < slots_ && queue_.empty())
    {
        ++running_;
        order_.record_service(added);
        return {admission_result::admitted};
    }
    order_.record_demand(added, now);
    const duration slack = added.deadline_ - now - scaled(added.expected_run_time_, run_margin);
    const duration longest_wait = scaled(slack, max_wait_fraction);
    const auto wait = expected_wait(added);
    if (!wait || *wait > longest_wait)
    {
        return {admission_result::shed};
    }
    added.drop_at_ = now + longest_wait;
    admission_decision decision{admission_result::queued};
    if (queue_.size() >= queue_limit_)
    {
        const auto victim = find_displacement(added, queue_, order_);
        if (!victim)
        {
            return {admission_result::shed};
        }
        decision.displaced_ticket_ = queue_[victim->index_].ticket_;
        decision.displaced_by_rank_ = victim->by_rank_;
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(victim->index_));
    }
    queue_.push_back(added);
    return decision;
}

bool admission_controller::has_place_for(const request_rank& rank, instant now)
{
    if (queue_.size() < queue_limit_)
    {
        return true;
    }
    queued_request added;
    added.rank_ = rank;
    order_.record_demand(added, now); // As for a request that `request_slot()` refuses.
    return find_lower_rank(added, queue_, order_).has_value();
}

void admission_controller::release(duration service_time)
{
    running_ -= running_ > 0 ? 1 : 0;
    if (service_time <= duration::zero())
    {
        return;
    }
    const auto sample = static_cast<double>(service_time.count());
    const auto smoothed = static_cast<double>(service_time_.count());
    service_time_ =
        duration(static_cast<duration::rep>(smoothed + service_time_gain * (sample - smoothed)));
}

void admission_controller::set_stalled_count(std::uint32_t count)
{
    stalled_ = count;
}

std::optional<std::uint64_t> admission_controller::admit_next(instant now)
{
    while (running_ < slots_ && !queue_.empty())
    {
        const std::size_t index = order_.next(queue_);
        const queued_request chosen = queue_[index];
        if (chosen.drop_at_ <= now)
        {
            return std::nullopt; // `take_expired()` must remove it first.
        }
        order_.record_grant(chosen, queue_, now);
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
        ++running_;
        return chosen.ticket_;
    }
    return std::nullopt;
}

std::vector<std::uint64_t> admission_controller::take_expired(instant now)
{
    std::vector<std::uint64_t> tickets;
    std::erase_if(queue_, [&](const queued_request& entry) {
        const bool is_expired = entry.drop_at_ <= now;
        if (is_expired)
        {
            tickets.push_back(entry.ticket_);
        }
        return is_expired;
    });
    return tickets;
}

bool admission_controller::withdraw(std::uint64_t ticket)
{
    return std::erase_if(queue_,
                         [&](const queued_request& entry) { return entry.ticket_ == ticket; }) > 0;
}

void admission_controller::set_slots(std::uint32_t slots)
{
    slots_ = slots;
}

void admission_controller::set_queue_limit(std::uint32_t limit)
{
    queue_limit_ = limit;
}

std::uint32_t admission_controller::slots() const
{
    return slots_;
}

std::uint32_t admission_controller::queue_limit() const
{
    return queue_limit_;
}

std::uint32_t admission_controller::running() const
{
    return running_;
}

std::uint32_t admission_controller::queued() const
{
    return static_cast<std::uint32_t>(queue_.size());
}

std::optional<instant> admission_controller::next_expiry() const
{
    const auto first = std::ranges::min_element(queue_, {}, &queued_request::drop_at_);
    return first == queue_.end() ? std::nullopt : std::optional(first->drop_at_);
}

std::optional<duration> admission_controller::expected_wait(const queued_request& added) const
{
    const std::uint32_t available_slots = slots_ - std::min(stalled_, slots_);
    if (available_slots == 0)
    {
        return std::nullopt;
    }
    // Each request ahead needs a slot to become free, and so does this one.
    return (service_time_ + order_.run_time_before(added, queue_)) / available_slots;
}

} // namespace bamboohoist
