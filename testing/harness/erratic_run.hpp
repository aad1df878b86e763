#ifndef BAMBOOHOIST_TESTING_ERRATIC_RUN_HPP
#define BAMBOOHOIST_TESTING_ERRATIC_RUN_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bamboohoist::testing {

struct erratic_run_options
{
    std::uint64_t seed_ = 1;
    double seconds_ = 3.0;
    std::size_t callers_ = 6;
    std::size_t targets_ = 3;
    std::string evidence_folder_; ///< For the node's log when a check fails; empty for none.
};

struct erratic_run_result
{
    std::vector<std::string> violations_;
    std::map<int, std::uint64_t> statuses_;       ///< What callers got; 0 for no answer.
    std::map<std::string, std::uint64_t> faults_; ///< What targets did, by kind.
    std::uint64_t whole_ = 0;                     ///< Successes that passed the check.
    std::uint64_t targets_ = 0; ///< Started one after the other; all but the last ones ended.

    /// One line with all counts and violations.
    std::string describe() const;
};

/// Runs a real process of the node on the users' platform in front of erratic targets. Each
/// success must be what its target meant for exactly that request, requests that may not be
/// repeated run at most once, and a status that promises "not run" must be true.
erratic_run_result run_erratic(const erratic_run_options& options);

} // namespace bamboohoist::testing

#endif
