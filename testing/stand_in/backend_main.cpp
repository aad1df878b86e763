/// Runs the stand-in backend server as a process.

#include "stand_in/backend_server.hpp"

#include "core/error.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(service, "", "name of the service");
DEFINE_int32(slots, 7, "number of slots to announce");
DEFINE_string(announce, "", "address:port of the node's server for announcements");
DEFINE_uint64(seed, 1, "seed of the random service times");
DEFINE_string(journal, "", "file to which a line is appended for each keyed request");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    bamboohoist::process_metrics metrics;
    bamboohoist::event_loop loop(metrics);
    bamboohoist::testing::backend_server server(loop, FLAGS_service,
                                                static_cast<std::uint32_t>(FLAGS_slots),
                                                FLAGS_announce, FLAGS_seed, FLAGS_journal);
    if (!server.start())
    {
        std::cerr << bamboohoist::last_reason().text_ << '\n';
        return 1;
    }
    std::cout << R"({"ready":"backend","address":"127.0.0.1:)" << server.port() << "\"}"
              << std::endl;
    loop.run();
    return 0;
}
