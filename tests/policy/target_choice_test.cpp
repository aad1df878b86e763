#include "policy/target_choice.hpp"

#include "policy/target_health.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace bamboohoist;

namespace {

std::vector<candidate> make_healthy_candidates(std::size_t count)
{
    std::vector<candidate> targets(count);
    for (candidate& target : targets)
    {
        target.slots_ = 7;
        target.latency_ms_ = 5.0;
    }
    return targets;
}

std::map<std::size_t, int> count_choices(const std::vector<candidate>& targets, double floor)
{
    random_source random(11);
    std::map<std::size_t, int> choice_counts;
    for (int i = 0; i < 4000; ++i)
    {
        const auto chosen = choose_target(targets, {floor, true}, random);
        REQUIRE(chosen);
        ++choice_counts[chosen->index_];
    }
    return choice_counts;
}

} // namespace

TEST_CASE("an ejected target gets no requests while the floor is met without it")
{
    auto targets = make_healthy_candidates(8);
    targets[3].weight_ = 0.0;
    const auto choice_counts = count_choices(targets, 0.5);
    CHECK_FALSE(choice_counts.contains(3));
    CHECK(choice_counts.size() == 7);
}

TEST_CASE("ejected targets stay in use as far as the floor requires")
{
    auto targets = make_healthy_candidates(8);
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

TEST_CASE("when nearly all targets are ejected none is excluded")
{
    auto targets = make_healthy_candidates(8);
    for (std::size_t i = 0; i < 7; ++i)
    {
        targets[i].weight_ = 0.0;
    }
    std::vector<double> weights;
    CHECK(apply_floor(targets, 0.0, weights));
    CHECK(std::ranges::count(weights, 1.0) == 8);
}

TEST_CASE("the floor is met for every pattern of ejections")
{
    random_source random(5);
    for (int round = 0; round < 2000; ++round)
    {
        auto targets = make_healthy_candidates(1 + random.index(12));
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
        double remaining = 0.0;
        for (std::size_t i = 0; i < targets.size(); ++i)
        {
            remaining += weights[i] > 0.0 ? targets[i].slots_ : 0.0;
        }
        CHECK(remaining >= total * floor);
    }
}

TEST_CASE("near targets are preferred and distant ones are used when those are full")
{
    auto targets = make_healthy_candidates(3);
    targets[1].distance_ = distance::same_region;
    targets[2].distance_ = distance::other_region;
    CHECK(count_choices(targets, 0.5).size() == 1);
    targets[0].load_ = 20.0;
    CHECK(count_choices(targets, 0.5).contains(1));
    targets[1].load_ = 40.0;
    CHECK(count_choices(targets, 0.5).contains(2));
    random_source random(1);
    targets[0].usable_ = targets[1].usable_ = false;
    CHECK_FALSE(choose_target(targets, {0.5, false}, random));
}

TEST_CASE("the faster of two targets gets most of the requests")
{
    auto targets = make_healthy_candidates(2);
    targets[1].latency_ms_ = 50.0;
    const auto choice_counts = count_choices(targets, 0.5);
    CHECK(choice_counts.at(0) > 2000);
}

TEST_CASE("an announced ejection applies immediately, whatever weight the last response reported")
{
    constexpr duration fresh = std::chrono::milliseconds(100);
    constexpr duration old = std::chrono::seconds(3);
    CHECK(effective_weight(0.0, 1.0, fresh) == 0.0);
    CHECK(effective_weight(1.0, 0.3, fresh) == 0.3);
    CHECK(effective_weight(1.0, 0.3, old) == 1.0);
}

TEST_CASE("a slow and loaded target still gets some of the requests")
{
    auto targets = make_healthy_candidates(8);
    targets[2].latency_ms_ = 500.0;
    targets[2].load_ = 5.0;
    const auto choice_counts = count_choices(targets, 0.5);
    // About one choice in seven uses a single draw, which chooses this target one time in eight.
    CHECK(choice_counts.at(2) > 40);
    CHECK(choice_counts.at(2) < 200);
}

TEST_CASE("a second attempt is sent only to a target with a free slot")
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

TEST_CASE("last attempts avoid ejected targets while others have free slots")
{
    // Three of eight targets are ejected; the floor is 0.7.
    random_source random(1);
    std::vector<candidate> candidates(8);
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        candidates[i].slots_ = 7;
        candidates[i].weight_ = i < 3 ? 0.0 : 1.0;
    }
    choice_limits limits{0.7, true, true};
    int to_ejected = 0;
    for (int i = 0; i < 2000; ++i)
    {
        to_ejected += choose_target(candidates, limits, random)->last_resort_ ? 1 : 0;
    }
    CHECK(to_ejected == 0);
    limits.last_attempt_ = false;
    for (int i = 0; i < 2000; ++i)
    {
        to_ejected += choose_target(candidates, limits, random)->last_resort_ ? 1 : 0;
    }
    CHECK(to_ejected > 0);
    CHECK(to_ejected < 400);
}

TEST_CASE("trials go to ejected targets of the same domain and are never last attempts")
{
    random_source random(1);
    auto candidates = make_healthy_candidates(8);
    candidates[2].weight_ = 0.0;
    candidates[2].trial_due_ = true;
    choice_limits limits{0.7, true, false, true};
    const auto first = choose_target(candidates, limits, random);
    REQUIRE(first);
    CHECK(first->index_ == 2);
    CHECK(first->trial_);
    CHECK_FALSE(first->last_resort_);

    limits.last_attempt_ = true;
    CHECK_FALSE(choose_target(candidates, limits, random)->trial_);
    limits.last_attempt_ = false;
    candidates[2].trial_due_ = false;
    CHECK_FALSE(choose_target(candidates, limits, random)->trial_);
    candidates[2].trial_due_ = true;
    candidates[2].distance_ = distance::same_region;
    CHECK_FALSE(choose_target(candidates, limits, random)->trial_);
}

TEST_CASE("where guards admit trials, ejected targets get no other requests while one is left")
{
    random_source random(1);
    auto candidates = make_healthy_candidates(8);
    for (std::size_t i = 0; i < 4; ++i)
    {
        candidates[i].weight_ = failing_weight;
    }
    choice_limits limits{0.7, true, false, true};
    for (int i = 0; i < 1000; ++i)
    {
        const auto chosen = choose_target(candidates, limits, random);
        CHECK(chosen->index_ >= 4);
        CHECK_FALSE(chosen->trial_);
        CHECK_FALSE(chosen->last_resort_);
    }
    for (std::size_t i = 4; i < candidates.size(); ++i)
    {
        candidates[i].usable_ = false;
    }
    CHECK(choose_target(candidates, limits, random)->trial_);
    limits.last_attempt_ = true;
    CHECK_FALSE(choose_target(candidates, limits, random));
}

TEST_CASE("when nearly all targets are ejected all are used, and those that fail last by requests "
          "that may run only once")
{
    random_source random(1);
    auto candidates = make_healthy_candidates(8);
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        candidates[i].weight_ = i < 4 ? failing_weight : stalled_weight;
    }
    choice_limits limits{0.7, true, false, true};
    int failing = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const auto chosen = choose_target(candidates, limits, random);
        CHECK(chosen->last_resort_);
        failing += chosen->index_ < 4 ? 1 : 0;
    }
    CHECK(failing > 0);
    limits.last_attempt_ = true;
    for (int i = 0; i < 1000; ++i)
    {
        CHECK(choose_target(candidates, limits, random)->index_ >= 4);
    }
    // Rather a failing target than a long queue.
    for (std::size_t i = 4; i < candidates.size(); ++i)
    {
        candidates[i].load_ = 4.0 * candidates[i].slots_;
    }
    failing = 0;
    for (int i = 0; i < 1000; ++i)
    {
        failing += choose_target(candidates, limits, random)->index_ < 4 ? 1 : 0;
    }
    CHECK(failing > 500);
}

TEST_CASE("many nodes that offer trials to one guard offer fewer after refusals")
{
    constexpr instant begin{std::chrono::hours(1)};
    trial_clock clock;
    clock.on_ejected(begin);
    CHECK_FALSE(clock.is_due(begin));
    CHECK(clock.is_due(begin + trial_period));
    clock.on_sent(begin);
    for (int i = 0; i < 10; ++i)
    {
        clock.on_refused();
    }
    CHECK_FALSE(clock.is_due(begin + trial_period * 7));
    CHECK(clock.is_due(begin + trial_period * 8));
    clock.on_good();
    CHECK(clock.is_due(begin + trial_period));
}

TEST_CASE("distant targets with stale loads do not attract requests from equally full near ones")
{
    // The near targets are full by recent reports; the distant ones were idle long ago.
    random_source random(1);
    auto candidates = make_healthy_candidates(6);
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const bool near = i < 2;
        candidates[i].distance_ = near ? distance::same_domain : distance::same_region;
        candidates[i].load_ = near ? 8.0 : 0.0;
        candidates[i].load_fresh_ = near;
    }
    int far_count = 0;
    for (int i = 0; i < 200; ++i)
    {
        far_count += choose_target(candidates, {0.0, true}, random)->index_ >= 2 ? 1 : 0;
    }
    CHECK(far_count == 200);
    replace_stale_loads(candidates);
    for (int i = 0; i < 200; ++i)
    {
        CHECK(choose_target(candidates, {0.0, true}, random)->index_ < 2);
    }
    // A distant target that recently reported a low load is chosen.
    candidates[3].load_ = 1.0;
    candidates[3].load_fresh_ = true;
    far_count = 0;
    for (int i = 0; i < 200; ++i)
    {
        far_count += choose_target(candidates, {0.0, true}, random)->index_ == 3 ? 1 : 0;
    }
    CHECK(far_count > 0);
}
