#ifndef BAMBOOHOIST_CLI_LOAD_GENERATORS_HPP
#define BAMBOOHOIST_CLI_LOAD_GENERATORS_HPP

#include "cli/load_runner.hpp"

namespace bamboohoist {

/// Runs a plan on as many generator threads as it asks for, each with its share of the rate and of
/// the connections, and adds up their results. One thread can send only so many requests a second.
load_result run_load_plan(const load_plan& plan, std::uint64_t seed);

} // namespace bamboohoist

#endif
