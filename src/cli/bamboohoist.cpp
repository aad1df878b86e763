/// The operators' command line. Every command talks to one node of the fleet over HTTP.

#include "cli/command.hpp"
#include "cli/flags.hpp"

#include <csignal>
#include <curl/curl.h>
#include <iostream>
#include <vector>

namespace {

using namespace bamboohoist;

std::string usage()
{
    std::string text = "bamboohoist COMMAND [ARGUMENTS] [--node=ADDRESS:PORT] [--json]\n\n";
    for (const command& row : commands())
    {
        text += "  " + std::string(row.name_) + " " + std::string(row.usage_) + "\n      " +
                std::string(row.summary_) + "\n";
    }
    text += "\nExit status: 0 done, 1 refused, 2 bad usage or file, 3 no node answered.\n";
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage(usage());
    gflags::SetVersionString(BAMBOOHOIST_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::vector<std::string_view> args(argv + 1, argv + argc);
    if (args.empty() || args.front() == "help")
    {
        std::cout << usage();
        return args.empty() ? static_cast<int>(exit_status::bad_usage) : 0;
    }
    for (const command& row : commands())
    {
        if (row.name_ == args.front())
        {
            return static_cast<int>(row.run_(arguments(args).subspan(1)));
        }
    }
    std::cerr << "bamboohoist: unknown command \"" << args.front() << "\"\n\n" << usage();
    return static_cast<int>(exit_status::bad_usage);
}
