#include "policy/admission_controller.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// Organisations whose service is remembered; beyond it those behind the virtual time are dropped.
constexpr std::size_t max_remembered = 256;
constexpr double service_time_gain = 0.1;
/// Time that a queued request must find for its run, in usual times: half of all take longer.
constexpr double run_margin = 1.3;
/// Part of the time beyond its run that a request may wait at one target; the rest is for others.
constexpr double wait_share = 0.5;
constexpr double least_share = 0.001;

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace

admission_controller::admission_controller(std::uint32_t slots, std::uint32_t queue_limit)
    : slots_(slots), queue_limit_(queue_limit)
{
}

admission_decision admission_controller::request(const admission_request& wanted, instant now)
{
    const std::uint64_t organisation = hash_text(wanted.organisation_);
    if (running_ < slots_ && queue_.empty())
    {
        ++running_;
        charge(organisation, wanted.share_);
        return {admission_result::run, std::nullopt};
    }
    const duration run_time =
        wanted.run_time_ > duration::zero() ? wanted.run_time_ : service_time_;
    const duration slack = wanted.deadline_ - now - scaled(run_time, run_margin);
    const duration longest_wait = scaled(slack, wait_share);
    const auto wait = expected_wait(wanted.deadline_);
    if (!wait || *wait > longest_wait)
    {
        return {admission_result::shed, std::nullopt};
    }
    const waiting added{wanted.ticket_,   organisation, wanted.share_,
                        wanted.deadline_, run_time,     now + longest_wait};
    std::optional<std::uint64_t> displaced;
    if (queue_.size() >= queue_limit_)
    {
        auto victim = displaceable(organisation, wanted.share_);
        victim = victim ? victim : more_patient(added);
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

std::optional<std::uint64_t> admission_controller::next(instant now)
{
    while (running_ < slots_ && !queue_.empty())
    {
        const std::size_t index = fairest();
        const waiting chosen = queue_[index];
        if (chosen.give_back_ <= now)
        {
            return std::nullopt; // `expired()` has to take it first.
        }
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
        ++running_;
        charge(chosen.organisation_, chosen.share_);
        return chosen.ticket_;
    }
    return std::nullopt;
}

std::vector<std::uint64_t> admission_controller::take_expired(instant now)
{
    std::vector<std::uint64_t> tickets;
    std::erase_if(queue_, [&](const waiting& entry) {
        const bool late = entry.give_back_ <= now;
        if (late)
        {
            tickets.push_back(entry.ticket_);
        }
        return late;
    });
    return tickets;
}

bool admission_controller::withdraw(std::uint64_t ticket)
{
    return std::erase_if(queue_, [&](const waiting& entry) { return entry.ticket_ == ticket; }) > 0;
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
    const auto first = std::ranges::min_element(queue_, {}, &waiting::give_back_);
    return first == queue_.end() ? std::nullopt : std::optional(first->give_back_);
}

std::optional<duration> admission_controller::expected_wait(instant deadline) const
{
    const std::uint32_t moving = slots_ - std::min(stalled_, slots_);
    if (moving == 0)
    {
        return std::nullopt;
    }
    // A slot has to be given back for each one ahead, and one more for the request itself.
    duration ahead = service_time_;
    for (const waiting& entry : queue_)
    {
        ahead += entry.deadline_ <= deadline ? entry.run_time_ : duration::zero();
    }
    return ahead / moving;
}

std::size_t admission_controller::fairest() const
{
    const auto rank_of = [this](const waiting& entry) {
        const auto found = served_.find(entry.organisation_);
        const double served =
            found == served_.end() ? virtual_time_ : std::max(found->second, virtual_time_);
        return std::pair(served, entry.deadline_);
    };
    const auto best = std::ranges::min_element(queue_, {}, rank_of);
    return static_cast<std::size_t>(best - queue_.begin());
}

std::optional<std::size_t> admission_controller::more_patient(const waiting& wanted) const
{
    const auto last = std::ranges::max_element(queue_, {}, &waiting::deadline_);
    if (last == queue_.end() || last->organisation_ != wanted.organisation_ ||
        last->deadline_ <= wanted.deadline_)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(last - queue_.begin());
}

std::optional<std::size_t> admission_controller::displaceable(std::uint64_t organisation,
                                                              double share) const
{
    std::unordered_map<std::uint64_t, double> held;
    for (const waiting& entry : queue_)
    {
        held[entry.organisation_] += 1.0 / std::max(least_share, entry.share_);
    }
    const auto most =
        std::ranges::max_element(held, {}, [](const auto& pair) { return pair.second; });
    const double own = held[organisation] + 1.0 / std::max(least_share, share);
    if (most == held.end() || most->first == organisation || most->second <= own)
    {
        return std::nullopt;
    }
    for (std::size_t i = queue_.size(); i > 0; --i)
    {
        if (queue_[i - 1].organisation_ == most->first)
        {
            return i - 1;
        }
    }
    return std::nullopt;
}

void admission_controller::charge(std::uint64_t organisation, double share)
{
    const auto found = served_.try_emplace(organisation, virtual_time_).first;
    const double start = std::max(found->second, virtual_time_);
    found->second = start + 1.0 / std::max(least_share, share);
    virtual_time_ = start;
    if (served_.size() > max_remembered)
    {
        std::erase_if(served_, [this](const auto& pair) { return pair.second <= virtual_time_; });
    }
}

} // namespace bamboohoist
