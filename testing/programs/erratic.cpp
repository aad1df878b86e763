/// Runs the node in front of targets that answer cut, twice, late or not at all, once for each
/// seed, and checks each answer that callers get. The last line is the verdict; the exit status is
/// 1 when an answer was wrong.

#include "harness/erratic_run.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of seeds");
DEFINE_double(seconds, 3.0, "time in which callers send requests, for each seed");
DEFINE_string(folder, "erratic-evidence", "folder for the node's log when an answer is wrong");

int main(int argc, char** argv)
{
    using namespace bamboohoist::testing;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::size_t violations = 0;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
    {
        erratic_run_options options;
        options.seed_ = seed;
        options.seconds_ = FLAGS_seconds;
        options.evidence_folder_ = FLAGS_folder + "/seed-" + std::to_string(seed);
        const erratic_run_result result = run_erratic(options);
        violations += result.violations_.size();
        std::cout << "seed " << seed << ": " << result.describe() << std::endl;
    }
    std::cout << (violations == 0 ? "sound" : "BROKEN") << ": " << violations << " violations in "
              << FLAGS_seeds << " seeds" << std::endl;
    return violations == 0 ? 0 : 1;
}
