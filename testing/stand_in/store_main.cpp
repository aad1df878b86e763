/// Runs the stand-in store as a process.

#include "stand_in/kv_server.hpp"

#include "core/error.hpp"

#include <csignal>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 selects a free port");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    bamboohoist::process_metrics metrics;
    bamboohoist::event_loop loop(metrics);
    bamboohoist::testing::kv_server server(loop, FLAGS_address,
                                           static_cast<std::uint16_t>(FLAGS_port));
    if (!server.start())
    {
        std::cerr << bamboohoist::last_reason().text_ << '\n';
        return 1;
    }
    std::cout << R"({"ready":"store","address":")" << FLAGS_address << ":" << server.port() << "\"}"
              << std::endl;
    loop.run();
    return 0;
}
