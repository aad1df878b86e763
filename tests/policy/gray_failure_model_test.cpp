#include "model/gray_failure_model.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist::testing;

namespace {

gray_failure_result sum_of_runs(bool trials)
{
    gray_failure_result sum;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        gray_failure_options options;
        options.trials_allowed_ = trials;
        options.seed_ = seed;
        const gray_failure_result run = gray_failure_model(options).run();
        sum.requests_ += run.requests_;
        sum.failed_ += run.failed_;
        sum.failed_non_idempotent_ += run.failed_non_idempotent_;
        sum.healthy_ejected_s_ += run.healthy_ejected_s_;
    }
    return sum;
}

} // namespace

TEST_CASE("trials shorten the ejection of recovered targets and cost few non-idempotent requests")
{
    // Three in ten targets hang at a time, so a random choice would lose 0.3 x 0.75 of all
    // requests.
    const gray_failure_result with_trials = sum_of_runs(true);
    const gray_failure_result without_trials = sum_of_runs(false);
    const auto hung_non_idempotent = static_cast<double>(with_trials.failed_non_idempotent_);
    CHECK(with_trials.healthy_ejected_s_ < without_trials.healthy_ejected_s_ * 0.8);
    CHECK(hung_non_idempotent < static_cast<double>(without_trials.failed_non_idempotent_) * 1.15);
    CHECK(static_cast<double>(with_trials.failed_) <
          0.3 * 0.75 * static_cast<double>(with_trials.requests_) / 2.0);
}

TEST_CASE("of targets that fail with errors few requests that run once are lost, with late news")
{
    // Three in ten targets fail three quarters of their requests at a time, so a random choice
    // would lose 0.3 x 0.75 of all requests. News of an ejection takes as long as gossip does.
    gray_failure_result sum;
    double requests_once = 0.0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        gray_failure_options options;
        options.mode_ = failure_mode::errors;
        options.slots_ = 4;
        options.median_ms_ = 420.0;
        options.failing_s_ = 9.0;
        options.healthy_s_ = 21.0;
        options.news_delay_ = std::chrono::milliseconds(300);
        options.seed_ = seed;
        const gray_failure_result run = gray_failure_model(options).run();
        sum.failed_ += run.failed_;
        sum.failed_non_idempotent_ += run.failed_non_idempotent_;
        sum.healthy_ejected_s_ += run.healthy_ejected_s_;
        requests_once += static_cast<double>(run.requests_) * (1.0 - options.idempotent_fraction_);
        sum.requests_ += run.requests_;
    }
    MESSAGE("errors in ", sum.failed_, " of ", sum.requests_, " requests, ",
            sum.failed_non_idempotent_, " that run once, healthy targets ejected for ",
            sum.healthy_ejected_s_, " s of 12000 target-seconds");
    constexpr double random_choice = 0.3 * 0.75;
    CHECK(static_cast<double>(sum.failed_) <
          random_choice / 2.0 * static_cast<double>(sum.requests_));
    CHECK(static_cast<double>(sum.failed_non_idempotent_) < random_choice / 6.0 * requests_once);
}
