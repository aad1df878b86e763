#ifndef BAMBOOHOIST_TESTING_SOAK_HPP
#define BAMBOOHOIST_TESTING_SOAK_HPP

#include "harness/idempotency_check.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bamboohoist::testing {

/// How long and how large a soak is. The same seed draws the same faults in the same order; how
/// long processes take to start and stop shifts their times a little.
struct soak_options
{
    std::uint64_t seed_ = 1;
    double seconds_ = 30.0;
    std::size_t nodes_ = 6;
    double rate_ = 60.0; ///< Keyed requests a second, and as many that may be repeated.
    std::string
        evidence_folder_;  ///< Where logs are kept when a promise is broken; empty keeps none.
    bool verbose_ = false; ///< Prints each fault as it begins and ends.
};

/// What a soak showed.
struct soak_result
{
    idempotency_violations keyed_;
    std::uint64_t wrong_ = 0; ///< Answers that were not whole, or another request's.
    std::uint64_t lost_ = 0;  ///< Keyed requests without any answer after all resends.
    std::uint64_t requests_ = 0;
    std::uint64_t complete_ = 0;
    double recovered_fraction_ = 0.0; ///< Whole answers once all faults were over.
    std::vector<std::string> ends_;   ///< Processes that ended though nobody ended them.
    std::map<std::string, std::uint64_t> faults_;
    std::vector<std::string> time_line_;

    /// The promises that were broken, for people; empty when all were kept.
    std::vector<std::string> violations() const;
};

/// Runs real processes under overlapping faults from outside them: killed, stopped, frozen and
/// reloaded nodes, dying, hanging and failing backend servers, links that are cut one way, slow,
/// reset or refuse, and a store that is down, slow or loses replies.
soak_result run_soak(const soak_options& options);

} // namespace bamboohoist::testing

#endif
