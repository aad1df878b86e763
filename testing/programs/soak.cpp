/// Runs the real programs under overlapping seeded faults and checks the guarantees that callers
/// and backend servers observe. The last line is the result; the exit status is 1 when a guarantee
/// was violated.

#include "harness/soak.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the faults and of the load");
DEFINE_double(seconds, 30.0, "duration of the fault injection in seconds");
DEFINE_uint64(nodes, 6, "number of nodes; each has two backend servers");
DEFINE_double(rate, 60.0, "keyed requests per second, and as many idempotent requests per second");
DEFINE_string(folder, "soak-evidence",
              "folder for logs and time line when a guarantee is violated");
DEFINE_bool(quiet, false, "print only the result");

int main(int argc, char** argv)
{
    using namespace bamboohoist::testing;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    soak_options options;
    options.seed_ = FLAGS_seed;
    options.seconds_ = FLAGS_seconds;
    options.nodes_ = FLAGS_nodes;
    options.rate_ = FLAGS_rate;
    options.evidence_folder_ = FLAGS_folder + "/seed-" + std::to_string(FLAGS_seed);
    options.verbose_ = !FLAGS_quiet;
    const soak_result result = run_soak(options);
    const auto violations = result.violations();
    std::uint64_t faults = 0;
    for (const auto& [kind, count] : result.faults_)
    {
        faults += count;
    }
    std::cout << (violations.empty() ? "sound" : "BROKEN") << ": seed " << FLAGS_seed << ", "
              << faults << " faults, " << result.requests_ << " keyed requests, "
              << result.complete_ << " whole answers, " << result.lost_
              << " keyed without an answer, " << result.recovered_fraction_
              << " served after the faults";
    for (const std::string& violation : violations)
    {
        std::cout << "; " << violation;
    }
    std::cout << std::endl;
    return violations.empty() ? 0 : 1;
}
