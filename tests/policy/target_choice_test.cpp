#include "policy/target_choice.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace bamboohoist;

namespace {

std::vector<candidate> healthy(std::size_t count)
{
    std::vector<candidate> targets(count);
    for (candidate& target : targets)
    {
        target.slots_ = 7;
        target.latency_ms_ = 5.0;
    }
    return targets;
}

std::map<std::size_t, int> draw_many(const std::vector<candidate>& targets, double floor)
{
    random_source random(11);
    std::map<std::size_t, int> drawn;
    for (int i = 0; i < 4000; ++i)
    {
        const auto chosen = choose_target(targets, {floor, true}, random);
        REQUIRE(chosen);
        ++drawn[chosen->index_];
    }
    return drawn;
}

} // namespace

TEST_CASE("an ejected target gets nothing while the floor is kept without it")
{
    auto targets = healthy(8);
    targets[3].weight_ = 0.0;
    const auto drawn = draw_many(targets, 0.5);
    CHECK_FALSE(drawn.contains(3));
    CHECK(drawn.size() == 7);
}

TEST_CASE("ejections below the floor are not followed")
{
    auto targets = healthy(8);
    for (std::size_t i = 0; i < 5; ++i)
    {
        targets[i].weight_ = 0.0;
    }
    std::vector<double> weights;
    CHECK(apply_floor(targets, 0.5, weights));
    CHECK(std::ranges::count_if(weights, [](double weight) { return weight > 0.0; }) == 4);
    CHECK(apply_floor(targets, 0.75, weights));
    CHECK(std::ranges::count_if(weights, [](double weight) { return weight > 0.0; }) == 6);
}

TEST_CASE("when nearly all look ill none is excluded")
{
    auto targets = healthy(8);
    for (std::size_t i = 0; i < 7; ++i)
    {
        targets[i].weight_ = 0.0;
    }
    std::vector<double> weights;
    CHECK(apply_floor(targets, 0.0, weights));
    CHECK(std::ranges::count(weights, 1.0) == 8);
}

TEST_CASE("the floor holds for every pattern of verdicts")
{
    random_source random(5);
    for (int round = 0; round < 2000; ++round)
    {
        auto targets = healthy(1 + random.index(12));
        const double floor = random.uniform();
        double total = 0.0;
        for (candidate& target : targets)
        {
            target.slots_ = static_cast<std::uint32_t>(1 + random.index(9));
            target.weight_ = random.chance(0.6) ? 0.0 : 1.0;
            total += target.slots_;
        }
        std::vector<double> weights;
        apply_floor(targets, floor, weights);
        double kept = 0.0;
        for (std::size_t i = 0; i < targets.size(); ++i)
        {
            kept += weights[i] > 0.0 ? targets[i].slots_ : 0.0;
        }
        CHECK(kept >= total * floor);
    }
}

TEST_CASE("near targets come first and far ones when those are full")
{
    auto targets = healthy(3);
    targets[1].distance_ = distance::same_region;
    targets[2].distance_ = distance::other_region;
    CHECK(draw_many(targets, 0.5).size() == 1);
    targets[0].load_ = 20.0;
    CHECK(draw_many(targets, 0.5).contains(1));
    targets[1].load_ = 40.0;
    CHECK(draw_many(targets, 0.5).contains(2));
    random_source random(1);
    targets[0].usable_ = targets[1].usable_ = false;
    CHECK_FALSE(choose_target(targets, {0.5, false}, random));
}

TEST_CASE("the less busy and faster target gets most of the work")
{
    auto targets = healthy(2);
    targets[1].latency_ms_ = 50.0;
    const auto drawn = draw_many(targets, 0.5);
    CHECK(drawn.at(0) > 2000);
}

TEST_CASE("an ejection counts at once, whatever the last answer said")
{
    constexpr duration fresh = std::chrono::milliseconds(100);
    constexpr duration old = std::chrono::seconds(3);
    CHECK(effective_weight(0.0, 1.0, fresh) == 0.0);
    CHECK(effective_weight(1.0, 0.3, fresh) == 0.3);
    CHECK(effective_weight(1.0, 0.3, old) == 1.0);
}

TEST_CASE("a target that looks slow and busy keeps a share of the work")
{
    auto targets = healthy(8);
    targets[2].latency_ms_ = 500.0;
    targets[2].load_ = 5.0;
    const auto drawn = draw_many(targets, 0.5);
    // A single draw in seven gives it an eighth of those.
    CHECK(drawn.at(2) > 40);
    CHECK(drawn.at(2) < 200);
}

TEST_CASE("a second attempt goes only where a slot is free")
{
    candidate second;
    second.slots_ = 7;
    second.load_ = 6.0;
    CHECK(can_hedge(second));
    second.load_ = 7.0;
    CHECK_FALSE(can_hedge(second));
    second.load_ = 0.0;
    second.weight_ = 0.0;
    CHECK_FALSE(can_hedge(second));
}

TEST_CASE("requests that may run only once spare ejected targets while others have free slots")
{
    // Three of eight targets hang and are ejected; the floor is seven in ten.
    random_source random(1);
    std::vector<candidate> known(8);
    for (std::size_t i = 0; i < known.size(); ++i)
    {
        known[i].slots_ = 7;
        known[i].weight_ = i < 3 ? 0.0 : 1.0;
    }
    choice_limits limits{0.7, true, true};
    int to_ejected = 0;
    for (int i = 0; i < 2000; ++i)
    {
        to_ejected += choose_target(known, limits, random)->last_resort_ ? 1 : 0;
    }
    CHECK(to_ejected == 0);
    limits.last_attempt_ = false;
    for (int i = 0; i < 2000; ++i)
    {
        to_ejected += choose_target(known, limits, random)->last_resort_ ? 1 : 0;
    }
    CHECK(to_ejected > 0);
    CHECK(to_ejected < 400);
}

TEST_CASE("an ejected target is tried by first attempts that may be followed by another")
{
    random_source random(1);
    auto known = healthy(8);
    known[2].weight_ = 0.0;
    known[2].trial_due_ = true;
    choice_limits limits{0.7, true, false, true};
    const auto first = choose_target(known, limits, random);
    REQUIRE(first);
    CHECK(first->index_ == 2);
    CHECK(first->trial_);
    CHECK_FALSE(first->last_resort_);

    limits.last_attempt_ = true;
    CHECK_FALSE(choose_target(known, limits, random)->trial_);
    limits.last_attempt_ = false;
    known[2].trial_due_ = false;
    CHECK_FALSE(choose_target(known, limits, random)->trial_);
    known[2].trial_due_ = true;
    known[2].distance_ = distance::same_region;
    CHECK_FALSE(choose_target(known, limits, random)->trial_);
}

TEST_CASE(
    "what the floor keeps in use is a trial where there are trials, unless the measure is ill")
{
    random_source random(1);
    auto known = healthy(8);
    for (std::size_t i = 0; i < 4; ++i)
    {
        known[i].weight_ = 0.0;
    }
    const choice_limits limits{0.7, true, false, true};
    int trials = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const auto chosen = choose_target(known, limits, random);
        CHECK_FALSE(chosen->last_resort_);
        trials += chosen->trial_ ? 1 : 0;
    }
    CHECK(trials > 0);
    for (candidate& target : known)
    {
        target.weight_ = 0.0;
    }
    CHECK(choose_target(known, limits, random)->last_resort_);
}

TEST_CASE("far targets whose load is old do not draw work from near ones that are as full")
{
    // The near ones have been asked lately and are full; the far ones looked empty long ago.
    random_source random(1);
    auto known = healthy(6);
    for (std::size_t i = 0; i < known.size(); ++i)
    {
        const bool near = i < 2;
        known[i].distance_ = near ? distance::same_domain : distance::same_region;
        known[i].load_ = near ? 8.0 : 0.0;
        known[i].load_fresh_ = near;
    }
    int far = 0;
    for (int i = 0; i < 200; ++i)
    {
        far += choose_target(known, {0.0, true}, random)->index_ >= 2 ? 1 : 0;
    }
    CHECK(far == 200);
    replace_stale_loads(known);
    for (int i = 0; i < 200; ++i)
    {
        CHECK(choose_target(known, {0.0, true}, random)->index_ < 2);
    }
    // A far one that has just said that it has room is taken.
    known[3].load_ = 1.0;
    known[3].load_fresh_ = true;
    far = 0;
    for (int i = 0; i < 200; ++i)
    {
        far += choose_target(known, {0.0, true}, random)->index_ == 3 ? 1 : 0;
    }
    CHECK(far > 0);
}
