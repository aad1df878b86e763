#ifndef BAMBOOHOIST_TESTING_KEYED_VERDICT_HPP
#define BAMBOOHOIST_TESTING_KEYED_VERDICT_HPP

#include "cli/load_runner.hpp"

#include <cstdint>
#include <string_view>

namespace bamboohoist::testing {

/// Promises about keyed requests that were broken, from what backend servers wrote into their
/// journal and from what callers were told.
struct keyed_verdict
{
    std::uint64_t double_runs_ = 0;   ///< Keys that started more than once.
    std::uint64_t false_not_run_ = 0; ///< Sends told "not run" that a target has started.
    std::uint64_t phantom_ = 0;       ///< Whole answers for keys that no target has started.
};

keyed_verdict judge_keyed(std::string_view journal, const load_result& load);

/// How many requests of a load ended so.
std::uint64_t count_ends(const load_result& load, load_end end);

} // namespace bamboohoist::testing

#endif
