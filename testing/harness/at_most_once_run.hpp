#ifndef BAMBOOHOIST_TESTING_AT_MOST_ONCE_RUN_HPP
#define BAMBOOHOIST_TESTING_AT_MOST_ONCE_RUN_HPP

#include <cstdint>
#include <map>
#include <string>

namespace bamboohoist::testing {

/// Duration, rate and seed of a run that tests "at most once".
struct at_most_once_options
{
    double seconds_ = 60.0;
    double rate_ = 200.0; ///< Keyed requests a second.
    std::uint64_t seed_ = 1;
};

/// Counts of one run.
struct at_most_once_result
{
    std::uint64_t requests_ = 0;
    std::uint64_t sends_ = 0;
    std::uint64_t double_runs_ = 0;       ///< Keys that were started more than once.
    std::uint64_t false_not_run_ = 0;     ///< Requests reported "not run" that a target started.
    std::uint64_t phantom_responses_ = 0; ///< Complete responses for keys that no target started.
    std::uint64_t lost_ = 0;              ///< Requests without any response after all resends.
    std::uint64_t wrong_ = 0;
    std::uint64_t complete_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t not_run_ = 0;
    std::uint64_t store_writes_ = 0;
    double elapsed_s_ = 0.0;
    std::map<std::string, std::uint64_t> faults_; ///< Injected faults by kind.
    std::map<std::string, std::uint64_t> errors_; ///< Error responses by error name or status.
};

/// Sends keyed requests with resends through four nodes in two regions, while nodes and targets
/// are killed or frozen, links to nodes are cut or reset, and the store is down, slow or loses the
/// replies to writes.
at_most_once_result run_at_most_once(const at_most_once_options& options);

} // namespace bamboohoist::testing

#endif
