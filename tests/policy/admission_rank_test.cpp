#include "fakes/manual_clock.hpp"
#include "policy/admission_controller.hpp"

#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <map>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;
using std::chrono::milliseconds;

namespace {

admission_request make_request(std::uint64_t ticket, request_rank rank, instant deadline,
                               std::string_view organisation = "a")
{
    return {ticket, organisation, 1.0, deadline, milliseconds(10), rank};
}

/// A controller of one slot, which is taken.
struct busy_target
{
    explicit busy_target(std::uint32_t queue_limit) : controller_(1, queue_limit)
    {
        controller_.request_slot(make_request(1000, {}, later(9000)), clock_.now());
    }

    instant later(int ms) const
    {
        return clock_.now() + milliseconds(ms);
    }

    admission_decision request(std::uint64_t ticket, request_rank rank, int time_left_ms,
                               std::string_view organisation = "a")
    {
        return controller_.request_slot(
            make_request(ticket, rank, later(time_left_ms), organisation), clock_.now());
    }

    std::optional<std::uint64_t> next()
    {
        controller_.release(milliseconds(10));
        return controller_.admit_next(clock_.now());
    }

    manual_clock clock_;
    admission_controller controller_;
};

} // namespace

TEST_CASE("a free slot goes to the highest rank, whatever the deadlines and shares are")
{
    busy_target target(8);
    target.request(1, {0, 2}, 1000, "idle");
    target.request(2, {1, 0}, 2000, "idle");
    target.request(3, {0, 0}, 9000);
    target.request(4, {0, 1}, 500);
    target.request(5, {0, 0}, 8000);
    CHECK(target.next() == 5);
    CHECK(target.next() == 3);
    CHECK(target.next() == 4);
    CHECK(target.next() == 1);
    CHECK(target.next() == 2);
}

TEST_CASE("the shares of organisations are kept for each rank by itself")
{
    // Slots of the higher rank must not erase that "b" has had less of the lower rank.
    busy_target target(8);
    target.request(1, {0, 1}, 5000, "a");
    CHECK(target.next() == 1);
    for (std::uint64_t ticket = 2; ticket <= 4; ++ticket)
    {
        target.request(ticket, {0, 0}, 5000, "a");
        CHECK(target.next() == ticket);
    }
    target.request(5, {0, 1}, 1000, "a");
    target.request(6, {0, 1}, 5000, "b");
    CHECK(target.next() == 6);
}

TEST_CASE("a full queue sheds the youngest request of the lowest rank for one of higher rank")
{
    busy_target target(3);
    target.request(1, {0, 2}, 3000, "x");
    target.request(2, {0, 2}, 9000, "y");
    target.request(3, {0, 1}, 9000, "z");
    const admission_decision decision = target.request(4, {0, 0}, 9000);
    CHECK(decision.result_ == admission_result::queued);
    CHECK(decision.displaced_ticket_ == 2);
    CHECK(decision.displaced_by_rank_);
    // An equal or lower rank displaces none of another rank.
    CHECK(target.request(5, {0, 2}, 100, "x").displaced_ticket_ ==
          1); // By its deadline, as before.
    CHECK(target.request(6, {1, 0}, 100).result_ == admission_result::shed);
}

TEST_CASE("a request is not refused because requests of lower rank wait before it")
{
    busy_target target(24);
    for (std::uint64_t ticket = 1; ticket <= 20; ++ticket)
    {
        target.request(ticket, {0, 2}, 1000);
    }
    // 20 requests of 10 ms, all with earlier deadlines, would be more than half of its slack.
    CHECK(target.request(21, {0, 2}, 320, "b").result_ == admission_result::queued);
    CHECK(target.request(22, {0, 3}, 320, "b").result_ == admission_result::shed);
    CHECK(target.request(23, {0, 0}, 100, "b").result_ == admission_result::queued);
    CHECK(target.next() == 23);
}

TEST_CASE("a keyed request is claimed only if the queue has a place for its rank")
{
    busy_target target(2);
    CHECK(target.controller_.has_place_for({0, 2}, target.clock_.now()));
    target.request(1, {0, 1}, 5000);
    target.request(2, {0, 1}, 5000);
    CHECK(target.controller_.has_place_for({0, 0}, target.clock_.now()));
    CHECK_FALSE(target.controller_.has_place_for({0, 1}, target.clock_.now()));
    CHECK_FALSE(target.controller_.has_place_for({0, 2}, target.clock_.now()));
}

namespace {

/// Grants of slots to the ranks of a target that is always overloaded.
struct rank_load
{
    request_rank rank_;
    int arrival_every_; ///< Arrivals of the rank: one in so many steps.
    int time_left_ms_;
};

/// Least number of slots that each rank got in any second, over the slots of that second divided by
/// the number of ranks. A step is 5 ms; one slot becomes free in each.
std::map<request_rank, double> least_part_of_mean(std::span<const rank_load> ranks, int steps)
{
    constexpr int steps_in_second = 200;
    busy_target target(24);
    std::map<std::uint64_t, request_rank> rank_of_ticket;
    std::deque<request_rank> granted;
    std::map<request_rank, double> least;
    std::uint64_t ticket = 0;
    for (int step = 0; step < steps; ++step)
    {
        target.clock_.advance(milliseconds(5));
        for (const rank_load& load : ranks)
        {
            if (step % load.arrival_every_ == 0)
            {
                rank_of_ticket[++ticket] = load.rank_;
                target.request(ticket, load.rank_, load.time_left_ms_);
            }
        }
        target.controller_.take_expired(target.clock_.now());
        target.controller_.release(milliseconds(5));
        if (const auto next = target.controller_.admit_next(target.clock_.now()))
        {
            granted.push_back(rank_of_ticket[*next]);
        }
        if (granted.size() > steps_in_second)
        {
            granted.pop_front();
            for (const rank_load& load : ranks)
            {
                const double part =
                    static_cast<double>(std::ranges::count(granted, load.rank_)) /
                    (static_cast<double>(granted.size()) / static_cast<double>(ranks.size()));
                const auto first = least.try_emplace(load.rank_, part).first;
                first->second = std::min(first->second, part);
            }
        }
    }
    return least;
}

} // namespace

TEST_CASE("a rank with work gets a quarter of the mean share of slots in any second")
{
    // 200 slots a second in all. The mean share of three ranks is 66.7, so one slot is 1.5 in 100.
    constexpr double quarter_less_one_slot = 0.25 - 0.015;
    SUBCASE("the highest rank alone exceeds the capacity and fills the queue")
    {
        const std::array<rank_load, 3> loads{
            rank_load{{0, 0}, 1, 400}, {{0, 1}, 2, 400}, {{1, 0}, 2, 400}};
        const auto least = least_part_of_mean(loads, 4000);
        for (const auto& [rank, part] : least)
        {
            const std::string name = to_string(rank);
            CAPTURE(name);
            CHECK(part >= quarter_less_one_slot);
        }
        CHECK(least.at({0, 0}) >= 2.4); // The lower two get no more than their floors.
    }
    SUBCASE("the wait expected behind the highest rank is too long for the others")
    {
        const std::array<rank_load, 3> loads{
            rank_load{{0, 0}, 1, 2000}, {{0, 1}, 3, 80}, {{1, 0}, 3, 80}};
        for (const auto& [rank, part] : least_part_of_mean(loads, 4000))
        {
            const std::string name = to_string(rank);
            CAPTURE(name);
            CHECK(part >= quarter_less_one_slot);
        }
    }
}

TEST_CASE("a rank without requests for a second has no claim to slots saved up")
{
    for (const int pause_ms : {900, 1100})
    {
        CAPTURE(pause_ms);
        busy_target target(4);
        for (std::uint64_t ticket = 1; ticket <= 16; ++ticket)
        {
            target.request(ticket, {0, 0}, 5000);
            target.request(ticket + 100, {0, 1}, 14); // Refused: there is no time to wait.
            CHECK(target.next() == ticket);
        }
        target.clock_.advance(milliseconds(pause_ms));
        target.request(90, {0, 0}, 5000);
        target.request(91, {0, 1}, 5000);
        CHECK(target.next() == (pause_ms < 1000 ? 91 : 90));
    }
}

TEST_CASE("many ranks are served in order and take bounded memory")
{
    // More ranks than are tracked: their history is lost, not their order.
    busy_target target(64);
    for (std::uint32_t route = 40; route > 0; --route)
    {
        target.request(route, {0, route}, 9000);
    }
    CHECK(target.next() == 1);
    CHECK(target.next() == 2);
    CHECK(rank_map<int>::max_ranks == 16);
}
