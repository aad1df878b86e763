#include "policy/target_health.hpp"

#include "core/random_source.hpp"
#include "fakes/manual_clock.hpp"
#include "policy/baseline_estimator.hpp"
#include "policy/health_weight.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

namespace {

constexpr service_baseline baseline{10.0, 0.02};

/// Seconds until a target is ejected that shows this observation twenty times a second.
double seconds_until_ejected(health_goal goal, observation seen)
{
    manual_clock clock;
    target_health health(goal);
    const instant begin = clock.now();
    while (!health.ejected() && clock.now() - begin < std::chrono::minutes(1))
    {
        health.observe(seen, baseline, clock.now());
        clock.advance(std::chrono::milliseconds(50));
    }
    return std::chrono::duration<double>(clock.now() - begin).count();
}

} // namespace

TEST_CASE("bad requests eject a target, sooner when the goal is the detection time")
{
    for (const observation seen : {observation::slow, observation::error, observation::lost,
                                   observation::stalled, observation::unreachable})
    {
        const double fast = seconds_until_ejected(health_goal::detection_time, seen);
        const double careful = seconds_until_ejected(health_goal::false_ejections, seen);
        CHECK(fast <= 2.0);
        CHECK(careful >= fast);
        CHECK(careful <= 4.0);
    }
}

TEST_CASE("one short pause that delays many requests does not eject a target")
{
    for (const health_goal goal : {health_goal::detection_time, health_goal::false_ejections})
    {
        manual_clock clock;
        target_health health(goal);
        for (int i = 0; i < 100; ++i)
        {
            health.observe(observation::slow, baseline, clock.now());
            clock.advance(std::chrono::milliseconds(1));
        }
        CHECK_FALSE(health.ejected());
    }
}

TEST_CASE("a target that is no worse than its service is not ejected")
{
    manual_clock clock;
    random_source random(3);
    target_health health(health_goal::detection_time);
    const service_baseline all_failing{10.0, 0.5};
    for (int i = 0; i < 20'000; ++i)
    {
        health.observe(random.chance(0.5) ? observation::error : observation::good, all_failing,
                       clock.now());
    }
    CHECK_FALSE(health.ejected());
}

TEST_CASE("an ejected target returns with a low weight, and flapping doubles its ejection time")
{
    manual_clock clock;
    target_health health(health_goal::detection_time);
    duration last_ejection_time{};
    for (int round = 0; round < 3; ++round)
    {
        while (!health.ejected())
        {
            health.observe(observation::error, baseline, clock.now());
            clock.advance(std::chrono::milliseconds(50));
        }
        CHECK(health.weight() == 0.0);
        const instant begin = clock.now();
        while (!health.advance(clock.now()))
        {
            clock.advance(std::chrono::milliseconds(100));
        }
        const duration ejection_time = clock.now() - begin;
        CHECK(ejection_time > last_ejection_time);
        last_ejection_time = ejection_time;
        CHECK(health.weight() > 0.0);
        CHECK(health.weight() <= 0.1);
    }
    for (int i = 0; i < 200; ++i)
    {
        health.observe(observation::good, baseline, clock.now());
    }
    CHECK(health.weight() > 0.9);
}

TEST_CASE("the baseline estimates the median and the fraction of bad responses")
{
    random_source random(9);
    baseline_estimator estimator;
    for (int i = 0; i < 5000; ++i)
    {
        const bool bad = random.chance(0.1);
        estimator.add(random.log_normal(20.0, 0.5), bad);
    }
    CHECK(estimator.baseline().latency_ms_ == doctest::Approx(20.0).epsilon(0.15));
    CHECK(estimator.baseline().bad_fraction_ == doctest::Approx(0.1).epsilon(0.6));
}

TEST_CASE("two stalled requests eject a hanging target, and its probation ends after two good ones")
{
    manual_clock clock;
    target_health health(health_goal::first_signs);
    const service_baseline baseline{300.0, 0.02};
    CHECK_FALSE(health.observe(observation::stalled, baseline, clock.now()));
    clock.advance(std::chrono::milliseconds(300));
    CHECK(health.observe(observation::stalled, baseline, clock.now()));
    CHECK(health.ejected());
    clock.advance(std::chrono::seconds(4));
    CHECK(health.advance(clock.now()));
    CHECK(health.on_probation());
    health.observe(observation::good, baseline, clock.now());
    CHECK(health.on_probation());
    health.observe(observation::good, baseline, clock.now());
    CHECK_FALSE(health.on_probation());
}

TEST_CASE("long requests that get good responses after all are no evidence of a hang")
{
    manual_clock clock;
    target_health health(health_goal::first_signs);
    const service_baseline baseline{300.0, 0.02};
    // One request in five is long enough to be counted as stalled.
    for (int i = 0; i < 200; ++i)
    {
        health.observe(observation::stalled, baseline, clock.now());
        clock.advance(std::chrono::milliseconds(300));
        health.refute_stalls(1, baseline);
        CHECK_FALSE(health.ejected());
        for (int good = 0; good < 4; ++good)
        {
            health.observe(observation::good, baseline, clock.now());
        }
    }
}

TEST_CASE("a target that was ejected for two long requests is back when both have finished well")
{
    manual_clock clock;
    target_health health(health_goal::first_signs);
    const service_baseline baseline{300.0, 0.02};
    health.observe(observation::stalled, baseline, clock.now());
    clock.advance(std::chrono::milliseconds(300));
    CHECK(health.observe(observation::stalled, baseline, clock.now()));
    const bool back = health.refute_stalls(1, baseline) || health.refute_stalls(1, baseline);
    CHECK(back);
    CHECK_FALSE(health.ejected());
    CHECK(health.weight() > 0.9);
    // Errors are evidence that a long request does not refute.
    health.observe(observation::error, baseline, clock.now());
    CHECK(health.observe(observation::error, baseline, clock.now()));
    CHECK_FALSE(health.refute_stalls(2, baseline));
    CHECK(health.ejected());
}

TEST_CASE("an ejected target gets one trial per period and returns after consecutive good ones")
{
    manual_clock clock;
    target_health health(health_goal::first_signs);
    const service_baseline baseline{300.0, 0.02};
    while (!health.ejected())
    {
        health.observe(observation::stalled, baseline, clock.now());
        clock.advance(std::chrono::milliseconds(300));
    }
    CHECK_FALSE(health.admit_trial(clock.now()));
    clock.advance(trial_period);
    CHECK(health.admit_trial(clock.now()));
    CHECK_FALSE(health.admit_trial(clock.now()));
    CHECK_FALSE(health.end_trial(true));
    CHECK_FALSE(health.end_trial(false));
    CHECK_FALSE(health.end_trial(true));
    CHECK(health.end_trial(true));
    CHECK_FALSE(health.ejected());
    CHECK(health.weight() > 0.9);
    CHECK_FALSE(health.admit_trial(clock.now()));
}

TEST_CASE("after an error no request that may run only once is admitted before a good response")
{
    manual_clock clock;
    target_health health(health_goal::first_signs);
    const service_baseline baseline{300.0, 0.02};
    CHECK(health.admits_unrepeatable(clock.now()));
    health.observe(observation::error, baseline, clock.now());
    CHECK_FALSE(health.admits_unrepeatable(clock.now()));
    health.observe(observation::good, baseline, clock.now());
    CHECK(health.admits_unrepeatable(clock.now()));
    // Without requests that may be repeated the doubt ends by time.
    health.observe(observation::error, baseline, clock.now());
    clock.advance(max_doubt_time);
    CHECK(health.admits_unrepeatable(clock.now()));
}

TEST_CASE("a target that was ejected for errors needs three good trials")
{
    manual_clock clock;
    target_health health(health_goal::first_signs);
    const service_baseline baseline{300.0, 0.02};
    const auto end_trial = [&](bool good) {
        health.observe(good ? observation::good : observation::error, baseline, clock.now());
        return health.end_trial(good);
    };
    while (!health.ejected())
    {
        health.observe(observation::error, baseline, clock.now());
    }
    clock.advance(trial_period);
    CHECK(health.admit_trial(clock.now()));
    CHECK_FALSE(end_trial(false));
    CHECK_FALSE(health.admit_trial(clock.now()));
    clock.advance(trial_period);
    for (int i = 0; i < 3; ++i)
    {
        CHECK(health.ejected());
        CHECK(health.admit_trial(clock.now()));
        CHECK(end_trial(true) == (i == 2));
    }
    CHECK(health.admits_unrepeatable(clock.now()));
    // The next error shows that it has not recovered.
    CHECK(health.observe(observation::error, baseline, clock.now()));
}

TEST_CASE(
    "refusals and stalls eject a target as one that may be overloaded, errors as a failing one")
{
    const service_baseline baseline{300.0, 0.02};
    for (const auto& [seen, weight] : {std::pair{observation::stalled, stalled_weight},
                                       std::pair{observation::refused, stalled_weight},
                                       std::pair{observation::error, failing_weight}})
    {
        manual_clock clock;
        target_health health(health_goal::first_signs);
        while (!health.ejected())
        {
            health.observe(seen, baseline, clock.now());
            clock.advance(std::chrono::milliseconds(300));
        }
        CHECK(health.weight() == weight);
        CHECK(is_ejected_weight(health.weight()));
        CHECK(health.admits_unrepeatable(clock.now()) == (seen != observation::error));
    }
}

TEST_CASE("a target whose ejection ended by time first serves requests that may be repeated")
{
    manual_clock clock;
    target_health health(health_goal::first_signs);
    const service_baseline baseline{300.0, 0.02};
    while (!health.ejected())
    {
        health.observe(observation::error, baseline, clock.now());
    }
    clock.advance(std::chrono::seconds(4));
    CHECK(health.advance(clock.now()));
    for (int i = 0; i < 3; ++i)
    {
        CHECK_FALSE(health.admits_unrepeatable(clock.now()));
        health.observe(observation::good, baseline, clock.now());
    }
    CHECK(health.admits_unrepeatable(clock.now()));
}

TEST_CASE("goals without trials admit no trials during the ejection time")
{
    manual_clock clock;
    target_health health(health_goal::detection_time);
    while (!health.ejected())
    {
        health.observe(observation::error, baseline, clock.now());
        clock.advance(std::chrono::milliseconds(50));
    }
    clock.advance(trial_period);
    CHECK_FALSE(health.admit_trial(clock.now()));
}
