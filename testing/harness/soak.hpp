#ifndef BAMBOOHOIST_TESTING_SOAK_HPP
#define BAMBOOHOIST_TESTING_SOAK_HPP

#include "harness/idempotency_check.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bamboohoist::testing {

/// Options of a soak. The same seed gives the same faults in the same order; their times vary a
/// little with how long processes take to start and stop.
struct soak_options
{
    std::uint64_t seed_ = 1;
    double seconds_ = 30.0;
    std::size_t nodes_ = 6;
    double rate_ = 60.0;          ///< Keyed requests a second, and as many idempotent ones.
    std::string evidence_folder_; ///< For logs when a guarantee is violated; empty for none.
    bool verbose_ = false;        ///< Prints a line when a fault begins or ends.
};

/// The result of a soak.
struct soak_result
{
    idempotency_violations idempotency_;
    std::uint64_t wrong_ = 0;    ///< Responses that were truncated or belong to another request.
    std::uint64_t lost_ = 0;     ///< Keyed requests without any response after all resends.
    std::uint64_t requests_ = 0; ///< Keyed requests.
    std::uint64_t complete_ = 0; ///< Complete responses, to idempotent requests as well.
    double recovered_fraction_ = 0.0;             ///< Of complete responses after the last fault.
    std::vector<std::string> unexpected_exits_;   ///< Processes that ended or failed on their own.
    std::map<std::string, std::uint64_t> faults_; ///< Injected faults by kind.
    std::vector<std::string> timeline_;

    /// A description of each violated guarantee; empty when there is none.
    std::vector<std::string> violations() const;
};

/// Runs real processes under overlapping injected faults: killed, stopped, frozen and reloaded
/// nodes, killed, frozen, hanging and failing backend servers, links that are cut in one direction,
/// slow, reset or refused, and a store that is down, slow or loses replies.
soak_result run_soak(const soak_options& options);

} // namespace bamboohoist::testing

#endif
