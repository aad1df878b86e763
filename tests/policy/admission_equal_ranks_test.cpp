#include "core/hash.hpp"
#include "core/random_source.hpp"
#include "fakes/manual_clock.hpp"
#include "policy/admission_controller.hpp"

#include <doctest/doctest.h>
#include <unordered_map>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

namespace {

/// The queue as it was before requests had ranks: ordered by fair share and deadline only. It is
/// written separately from the product, as the order that manifests without priorities must keep.
class unranked_admission
{
public:
    unranked_admission(std::uint32_t slots, std::uint32_t queue_limit)
        : slots_(slots), queue_limit_(queue_limit)
    {
    }

    admission_decision request_slot(const admission_request& asked, instant now)
    {
        const std::uint64_t organisation = hash_text(asked.organisation_);
        if (running_ < slots_ && queue_.empty())
        {
            ++running_;
            record_service(organisation, asked.share_);
            return {admission_result::admitted, std::nullopt, false};
        }
        const duration run_time =
            asked.expected_run_time_ > duration::zero() ? asked.expected_run_time_ : service_time_;
        const duration slack = asked.deadline_ - now - scaled(run_time, 1.3);
        const duration longest_wait = scaled(slack, 0.5);
        const std::uint32_t available = slots_ - std::min(stalled_, slots_);
        duration ahead = service_time_;
        for (const waiting& entry : queue_)
        {
            ahead += entry.deadline_ <= asked.deadline_ ? entry.run_time_ : duration::zero();
        }
        if (available == 0 || ahead / available > longest_wait)
        {
            return {admission_result::shed, std::nullopt, false};
        }
        std::optional<std::uint64_t> displaced;
        if (queue_.size() >= queue_limit_)
        {
            auto victim = find_largest_part(organisation, asked.share_);
            victim = victim ? victim : find_later_deadline(organisation, asked.deadline_);
            if (!victim)
            {
                return {admission_result::shed, std::nullopt, false};
            }
            displaced = queue_[*victim].ticket_;
            queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(*victim));
        }
        queue_.push_back({asked.ticket_, organisation, asked.share_, asked.deadline_, run_time,
                          now + longest_wait});
        return {admission_result::queued, displaced, false};
    }

    void release(duration service_time)
    {
        running_ -= running_ > 0 ? 1 : 0;
        if (service_time > duration::zero())
        {
            const auto smoothed = static_cast<double>(service_time_.count());
            const auto sample = static_cast<double>(service_time.count());
            service_time_ =
                duration(static_cast<duration::rep>(smoothed + 0.1 * (sample - smoothed)));
        }
    }

    std::optional<std::uint64_t> admit_next(instant now)
    {
        if (running_ >= slots_ || queue_.empty())
        {
            return std::nullopt;
        }
        const auto order = [this](const waiting& entry) {
            return std::pair(received(entry.organisation_), entry.deadline_);
        };
        const auto best = std::ranges::min_element(queue_, {}, order);
        if (best->drop_at_ <= now)
        {
            return std::nullopt;
        }
        const waiting chosen = *best;
        queue_.erase(best);
        ++running_;
        record_service(chosen.organisation_, chosen.share_);
        return chosen.ticket_;
    }

    std::vector<std::uint64_t> take_expired(instant now)
    {
        std::vector<std::uint64_t> tickets;
        std::erase_if(queue_, [&](const waiting& entry) {
            if (entry.drop_at_ <= now)
            {
                tickets.push_back(entry.ticket_);
            }
            return entry.drop_at_ <= now;
        });
        return tickets;
    }

    bool withdraw(std::uint64_t ticket)
    {
        return std::erase_if(queue_, [&](const waiting& e) { return e.ticket_ == ticket; }) > 0;
    }

    void set_stalled_count(std::uint32_t count)
    {
        stalled_ = count;
    }

    void set_slots(std::uint32_t slots)
    {
        slots_ = slots;
    }

    bool is_full() const
    {
        return queue_.size() >= queue_limit_;
    }

    std::uint32_t running() const
    {
        return running_;
    }

private:
    struct waiting
    {
        std::uint64_t ticket_;
        std::uint64_t organisation_;
        double share_;
        instant deadline_;
        duration run_time_;
        instant drop_at_;
    };

    static duration scaled(duration value, double factor)
    {
        return std::chrono::duration_cast<duration>(value * factor);
    }

    double received(std::uint64_t organisation) const
    {
        const auto found = served_.find(organisation);
        return found == served_.end() ? virtual_time_ : std::max(found->second, virtual_time_);
    }

    void record_service(std::uint64_t organisation, double share)
    {
        const double start = received(organisation);
        served_[organisation] = start + 1.0 / share;
        virtual_time_ = start;
        if (served_.size() > 256)
        {
            std::erase_if(served_,
                          [this](const auto& pair) { return pair.second <= virtual_time_; });
        }
    }

    std::optional<std::size_t> find_largest_part(std::uint64_t organisation, double share) const
    {
        std::unordered_map<std::uint64_t, double> parts;
        for (const waiting& entry : queue_)
        {
            parts[entry.organisation_] += 1.0 / entry.share_;
        }
        const auto largest =
            std::ranges::max_element(parts, {}, [](const auto& pair) { return pair.second; });
        const double own =
            1.0 / share + (parts.contains(organisation) ? parts.at(organisation) : 0.0);
        if (largest == parts.end() || largest->first == organisation || largest->second <= own)
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

    std::optional<std::size_t> find_later_deadline(std::uint64_t organisation,
                                                   instant deadline) const
    {
        const auto latest = std::ranges::max_element(queue_, {}, &waiting::deadline_);
        if (latest == queue_.end() || latest->organisation_ != organisation ||
            latest->deadline_ <= deadline)
        {
            return std::nullopt;
        }
        return static_cast<std::size_t>(latest - queue_.begin());
    }

    std::uint32_t slots_;
    std::uint32_t queue_limit_;
    std::uint32_t running_ = 0;
    std::uint32_t stalled_ = 0;
    duration service_time_ = std::chrono::milliseconds(5);
    std::vector<waiting> queue_;
    std::unordered_map<std::uint64_t, double> served_;
    double virtual_time_ = 0.0;
};

/// Performs one random operation on both and compares what they return.
class replay
{
public:
    replay(std::uint64_t seed, request_rank rank)
        : random_(seed), rank_(rank), slots_(2 + static_cast<std::uint32_t>(seed % 3)),
          ranked_(slots_, 2 + static_cast<std::uint32_t>(seed % 23)),
          unranked_(slots_, 2 + static_cast<std::uint32_t>(seed % 23))
    {
    }

    void step()
    {
        clock_.advance(std::chrono::microseconds(random_.index(3000)));
        const double draw = random_.uniform();
        if (draw < 0.55)
        {
            request();
        }
        else if (draw < 0.9)
        {
            release();
        }
        else if (draw < 0.95)
        {
            const std::uint64_t ticket =
                ticket_ - random_.index(std::min<std::size_t>(20, ticket_ + 1));
            CHECK(ranked_.withdraw(ticket) == unranked_.withdraw(ticket));
        }
        else
        {
            reconfigure();
        }
        CHECK(ranked_.take_expired(clock_.now()) == unranked_.take_expired(clock_.now()));
        CHECK(ranked_.running() == unranked_.running());
    }

    std::size_t displaced() const
    {
        return displaced_;
    }

private:
    void request()
    {
        // More organisations than the 256 that are tracked, a few of which send the most.
        const std::string organisation =
            std::to_string(random_.chance(0.7) ? random_.index(4) : random_.index(400));
        admission_request asked;
        asked.ticket_ = ++ticket_;
        asked.organisation_ = organisation;
        asked.share_ = random_.chance(0.3) ? 2.0 : 1.0;
        asked.deadline_ = clock_.now() + std::chrono::milliseconds(5 + random_.index(200));
        asked.expected_run_time_ = std::chrono::milliseconds(random_.index(12));
        asked.rank_ = rank_;
        CHECK(ranked_.has_place_for(rank_, clock_.now()) == !unranked_.is_full());
        const admission_decision decision = ranked_.request_slot(asked, clock_.now());
        const admission_decision expected = unranked_.request_slot(asked, clock_.now());
        CHECK(decision.result_ == expected.result_);
        CHECK(decision.displaced_ticket_ == expected.displaced_ticket_);
        CHECK_FALSE(decision.displaced_by_rank_);
        displaced_ += decision.displaced_ticket_ ? 1 : 0;
    }

    void release()
    {
        const duration taken = std::chrono::milliseconds(random_.index(15));
        ranked_.release(taken);
        unranked_.release(taken);
        std::optional<std::uint64_t> next;
        do
        {
            next = ranked_.admit_next(clock_.now());
            CHECK(next == unranked_.admit_next(clock_.now()));
        } while (next);
    }

    void reconfigure()
    {
        const auto stalled = static_cast<std::uint32_t>(random_.index(3));
        ranked_.set_stalled_count(stalled);
        unranked_.set_stalled_count(stalled);
        slots_ = 1 + static_cast<std::uint32_t>(random_.index(6));
        ranked_.set_slots(slots_);
        unranked_.set_slots(slots_);
    }

    manual_clock clock_;
    random_source random_;
    request_rank rank_;
    std::uint32_t slots_;
    admission_controller ranked_;
    unranked_admission unranked_;
    std::uint64_t ticket_ = 0;
    std::size_t displaced_ = 0;
};

} // namespace

TEST_CASE("requests of equal rank are ordered as they were before there were ranks")
{
    // Guards against a change for manifests that declare no priorities, and for those that declare
    // the same one everywhere.
    std::size_t displaced = 0;
    for (const request_rank rank : {request_rank{}, request_rank{3, 7}})
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed)
        {
            CAPTURE(seed);
            replay both(seed, rank);
            for (int i = 0; i < 4000; ++i)
            {
                both.step();
            }
            displaced += both.displaced();
        }
    }
    CHECK(displaced > 1000);
}
