#ifndef BAMBOOHOIST_TESTING_IDEMPOTENCY_CHECK_HPP
#define BAMBOOHOIST_TESTING_IDEMPOTENCY_CHECK_HPP

#include "cli/load_runner.hpp"

#include <cstdint>
#include <string_view>

namespace bamboohoist::testing {

/// Promises about keyed requests that were broken, from what backend servers wrote into their
/// journal and from what callers were told.
struct idempotency_violations
{
    std::uint64_t double_runs_ = 0;       ///< Keys that started more than once.
    std::uint64_t false_not_run_ = 0;     ///< Sends told "not run" that a target has started.
    std::uint64_t phantom_responses_ = 0; ///< Whole answers for keys that no target has started.
};

idempotency_violations check_idempotency(std::string_view journal, const load_result& load);

/// How many requests of a load ended so.
std::uint64_t count_outcomes(const load_result& load, load_outcome end);

} // namespace bamboohoist::testing

#endif
