#include "harness/soak.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist::testing;

TEST_CASE("the guarantees are kept in a short soak with overlapping faults")
{
    soak_options options;
    options.seed_ = 1;
    options.seconds_ = 8.0;
    options.nodes_ = 4;
    options.rate_ = 40.0;
    const soak_result result = run_soak(options);
    for (const std::string& violation : result.violations())
    {
        FAIL_CHECK(violation);
    }
    CHECK(result.requests_ > 0);
    CHECK_FALSE(result.faults_.empty());
}
