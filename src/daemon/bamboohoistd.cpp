/// The daemon beside each backend server VM: reads its settings, runs a node and leaves the fleet
/// in an orderly way on SIGTERM or SIGINT.

#include "daemon/node.hpp"

#include <csignal>
#include <curl/curl.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(settings, "", "path of the settings file (JSON); - reads standard input");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace bamboohoist;

constexpr int exit_bad_settings = 2;
constexpr int exit_failed = 1;

std::optional<std::string> read_all(const std::string& path)
{
    std::ostringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file(path);
    if (!file)
    {
        return fail(error_kind::bad_settings, "cannot read the settings file \"" + path + "\"");
    }
    text << file.rdbuf();
    return text.str();
}

/// One line that tells whoever started the process where to reach it.
void print_ready(const settings& own, const node_addresses& addresses)
{
    nlohmann::ordered_json line;
    line["ready"] = own.node_;
    line["callers"] = nlohmann::json::array();
    for (const endpoint& callers : addresses.callers_)
    {
        line["callers"].push_back(to_string(callers));
    }
    line["operators"] = to_string(addresses.operators_);
    line["announce"] = to_string(addresses.announce_);
    line["peers"] = to_string(addresses.peers_);
    line["gossip"] = to_string(addresses.gossip_);
    std::cout << line.dump() << std::endl;
}

int run(const settings& own)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked in every thread, so that only the wait below takes them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    node local(own);
    if (!local.start())
    {
        std::cerr << "bamboohoistd: " << last_reason().text_ << '\n';
        return exit_failed;
    }
    print_ready(own, local.addresses());
    int received = 0;
    sigwait(&signals, &received);
    local.leave();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bamboohoistd --settings=FILE: one node of a bamboohoist fleet");
    gflags::SetVersionString(BAMBOOHOIST_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto text = read_all(FLAGS_settings);
    const auto own = text ? parse_settings(*text) : std::nullopt;
    if (!own)
    {
        std::cerr << "bamboohoistd: " << last_reason().text_ << '\n';
        return exit_bad_settings;
    }
    if (FLAGS_check)
    {
        std::cout << "settings are good\n";
        return 0;
    }
    open_log(own->log_);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return run(*own);
}
