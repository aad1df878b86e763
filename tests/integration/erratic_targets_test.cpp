#include "harness/erratic_run.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist::testing;

// Callers got answers of targets that stutter or break off that were not whole, or not theirs.
TEST_CASE("answers cut, repeated or late at random are never relayed as another or a shorter one")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        erratic_run_options options;
        options.seed_ = seed;
        options.seconds_ = 2.0;
        const erratic_run_result result = run_erratic(options);
        INFO("seed ", seed, ": ", result.describe());
        CHECK(result.violations_.empty());
        CHECK(result.whole_ > 0);
    }
}
