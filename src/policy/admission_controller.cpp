#include "policy/admission_controller.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// Organisations whose service is tracked. Beyond this number, those that are not ahead of the
/// virtual time are dropped.
constexpr std::size_t max_tracked_organisations = 256;
constexpr double service_time_gain = 0.1;
/// Time to reserve for the run of a queued request, as a multiple of its typical run time: half of
/// all requests take longer than that.
constexpr double run_margin = 1.3;
/// Part of its spare time that a request may wait at one target; the rest is left for others.
constexpr double max_wait_fraction = 0.5;
constexpr double min_share = 0.001;

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
    const std::uint64_t organisation = hash_text(slot_request.organisation_);
    if (running_ < slots_ && queue_.empty())
    {
        ++running_;
        record_service(organisation, slot_request.share_);
        return {admission_result::admitted, std::nullopt};
    }
    const duration run_time = slot_request.expected_run_time_ > duration::zero()
                                  ? slot_request.expected_run_time_
                                  : service_time_;
    const duration slack = slot_request.deadline_ - now - scaled(run_time, run_margin);
    const duration longest_wait = scaled(slack, max_wait_fraction);
    const auto wait = expected_wait(slot_request.deadline_);
    if (!wait || *wait > longest_wait)
    {
        return {admission_result::shed, std::nullopt};
    }
    const queued_request added{slot_request.ticket_,   organisation, slot_request.share_,
                               slot_request.deadline_, run_time,     now + longest_wait};
    std::optional<std::uint64_t> displaced;
    if (queue_.size() >= queue_limit_)
    {
        auto victim = find_displaceable(organisation, slot_request.share_);
        victim = victim ? victim : find_later_deadline(added);
        if (!victim)
        {
            return {admission_result::shed, std::nullopt};
        }
        displaced = queue_[*victim].ticket_;
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(*victim));
    }
    queue_.push_back(added);
    return {admission_result::queued, displaced};
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
        const std::size_t index = find_fairest();
        const queued_request chosen = queue_[index];
        if (chosen.drop_at_ <= now)
        {
            return std::nullopt; // `take_expired()` must remove it first.
        }
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
        ++running_;
        record_service(chosen.organisation_, chosen.share_);
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

std::optional<duration> admission_controller::expected_wait(instant deadline) const
{
    const std::uint32_t available_slots = slots_ - std::min(stalled_, slots_);
    if (available_slots == 0)
    {
        return std::nullopt;
    }
    // Each request ahead needs a slot to become free, and so does this one.
    duration run_time_ahead = service_time_;
    for (const queued_request& entry : queue_)
    {
        run_time_ahead += entry.deadline_ <= deadline ? entry.expected_run_time_ : duration::zero();
    }
    return run_time_ahead / available_slots;
}

std::size_t admission_controller::find_fairest() const
{
    const auto rank_of = [this](const queued_request& entry) {
        const auto found = served_.find(entry.organisation_);
        const double served =
            found == served_.end() ? virtual_time_ : std::max(found->second, virtual_time_);
        return std::pair(served, entry.deadline_);
    };
    const auto best = std::ranges::min_element(queue_, {}, rank_of);
    return static_cast<std::size_t>(best - queue_.begin());
}

std::optional<std::size_t>
admission_controller::find_later_deadline(const queued_request& added) const
{
    const auto latest = std::ranges::max_element(queue_, {}, &queued_request::deadline_);
    if (latest == queue_.end() || latest->organisation_ != added.organisation_ ||
        latest->deadline_ <= added.deadline_)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(latest - queue_.begin());
}

std::optional<std::size_t> admission_controller::find_displaceable(std::uint64_t organisation,
                                                                   double share) const
{
    std::unordered_map<std::uint64_t, double> queued_weight;
    for (const queued_request& entry : queue_)
    {
        queued_weight[entry.organisation_] += 1.0 / std::max(min_share, entry.share_);
    }
    const auto largest =
        std::ranges::max_element(queued_weight, {}, [](const auto& pair) { return pair.second; });
    const double own_weight = queued_weight[organisation] + 1.0 / std::max(min_share, share);
    if (largest == queued_weight.end() || largest->first == organisation ||
        largest->second <= own_weight)
    {
        return std::nullopt;
    }
    for (std::size_t i = queue_.size(); i > 0; --i)
    {
        if (queue_[i - 1].organisation_ == largest->first)
        {
            return i - 1;
        }
    }
    return std::nullopt;
}

void admission_controller::record_service(std::uint64_t organisation, double share)
{
    const auto found = served_.try_emplace(organisation, virtual_time_).first;
    const double start = std::max(found->second, virtual_time_);
    found->second = start + 1.0 / std::max(min_share, share);
    virtual_time_ = start;
    if (served_.size() > max_tracked_organisations)
    {
        std::erase_if(served_, [this](const auto& pair) { return pair.second <= virtual_time_; });
    }
}

} // namespace bamboohoist
