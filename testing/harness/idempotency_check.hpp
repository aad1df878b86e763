#ifndef BAMBOOHOIST_TESTING_IDEMPOTENCY_CHECK_HPP
#define BAMBOOHOIST_TESTING_IDEMPOTENCY_CHECK_HPP

#include "cli/load_runner.hpp"

#include <cstdint>
#include <string_view>

namespace bamboohoist::testing {

/// Violated guarantees for keyed requests, found by comparing the journal of the backend servers
/// with the responses that callers received.
struct idempotency_violations
{
    std::uint64_t double_runs_ = 0;       ///< Keys that were started more than once.
    std::uint64_t false_not_run_ = 0;     ///< Requests reported "not run" that a target started.
    std::uint64_t phantom_responses_ = 0; ///< Complete responses for keys that no target started.
};

idempotency_violations check_idempotency(std::string_view journal, const load_result& load);

/// The number of requests of a load that ended with this outcome.
std::uint64_t count_outcomes(const load_result& load, load_outcome outcome);

} // namespace bamboohoist::testing

#endif
