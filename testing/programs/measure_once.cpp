/// Measures at-most-once execution: keyed requests with resends while processes are killed or
/// frozen, connections are cut and the store fails. The last line is one JSON object.

#include "harness/at_most_once_run.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_double(seconds, 75.0, "duration of the load in seconds");
DEFINE_double(rate, 150.0, "requests per second");
DEFINE_uint64(seed, 1, "seed of the faults and the load");

int main(int argc, char** argv)
{
    using namespace bamboohoist::testing;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const at_most_once_result result = run_at_most_once({FLAGS_seconds, FLAGS_rate, FLAGS_seed});
    const double requests = static_cast<double>(result.requests_);
    const nlohmann::ordered_json line{
        {"measure", "once"},
        {"seed", FLAGS_seed},
        {"requests", result.requests_},
        {"sends", result.sends_},
        {"double_runs", result.double_runs_},
        {"false_not_run", result.false_not_run_},
        {"phantom_answers", result.phantom_responses_},
        {"lost", result.lost_},
        {"wrong", result.wrong_},
        {"whole", result.complete_},
        {"unknown", result.unknown_},
        {"not_run", result.not_run_},
        {"unknown_share", static_cast<double>(result.unknown_) / requests},
        {"store_writes_per_s", static_cast<double>(result.store_writes_) / result.elapsed_s_},
        {"faults", result.faults_},
        {"errors", result.errors_},
    };
    std::cout << line.dump() << std::endl;
    const bool passed = result.double_runs_ == 0 && result.false_not_run_ == 0 &&
                        result.lost_ == 0 && result.wrong_ == 0 && result.phantom_responses_ == 0;
    return passed ? 0 : 1;
}
