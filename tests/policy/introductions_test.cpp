#include "policy/introductions.hpp"

#include "core/random_source.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace bamboohoist;

namespace {

/// The time until all of `nodes` restarted nodes are told, of which the store serves `served`.
duration time_until_all_told(std::size_t nodes, std::size_t served, std::uint64_t seed)
{
    random_source random(seed);
    introductions schedule;
    duration elapsed = schedule.restart();
    std::vector<std::size_t> unknown;
    for (std::size_t i = served; i < nodes; ++i)
    {
        unknown.push_back(i);
    }
    while (!unknown.empty())
    {
        std::vector<bool> told(nodes, false);
        const introduction_round round = schedule.next_round(unknown.size());
        for (std::size_t i = 0; i < served * round.count_; ++i)
        {
            told[unknown[random.index(unknown.size())]] = true;
        }
        std::erase_if(unknown, [&](std::size_t node) { return told[node]; });
        if (!round.next_)
        {
            break;
        }
        elapsed += *round.next_;
    }
    return unknown.empty() ? elapsed : duration::max();
}

} // namespace

TEST_CASE("a fleet of which the store serves a tenth is told in time after a restart")
{
    // Service has to be back fifteen seconds after the machines.
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        CHECK(time_until_all_told(27, 3, seed) < std::chrono::seconds(15));
        CHECK(time_until_all_told(106, 11, seed) < std::chrono::seconds(15));
        CHECK(time_until_all_told(660, 66, seed) < std::chrono::seconds(15));
    }
}

TEST_CASE("entries of nodes that are gone cost a bounded number of datagrams")
{
    introductions schedule;
    schedule.restart();
    std::size_t sent = 0;
    std::optional<duration> next = duration::zero();
    while (next)
    {
        const introduction_round round = schedule.next_round(10);
        sent += round.count_;
        next = round.next_;
    }
    CHECK(sent <= 100);
    CHECK(schedule.next_round(0).count_ == 0);
    CHECK_FALSE(schedule.next_round(0).next_);
}
