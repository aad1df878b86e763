#ifndef BAMBOOHOIST_CLI_LOAD_GENERATORS_HPP
#define BAMBOOHOIST_CLI_LOAD_GENERATORS_HPP

#include "cli/load_runner.hpp"

namespace bamboohoist {

/// Runs a plan on its number of generator threads, each with an equal part of the rate and the
/// connections, and adds up their results. The rate that a single thread can send is limited.
load_result run_load_plan(const load_plan& plan, std::uint64_t seed);

} // namespace bamboohoist

#endif
