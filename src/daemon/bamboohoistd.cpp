/// The daemon beside each backend server VM: reads its settings, runs a node and leaves the fleet
/// in an orderly way on SIGTERM or SIGINT. SIGHUP makes it read its settings again.

#include "core/crash_handler.hpp"
#include "daemon/node.hpp"
#include "platform/platform_deployment.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <curl/curl.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(settings, "",
              "path of the settings file (JSON); - reads standard input; without it the "
              "environment of the deployment names the file");
DEFINE_string(deployment, "own", "where the daemon runs: own or platform");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace bamboohoist;

constexpr int exit_bad_settings = 2;
constexpr int exit_failed = 1;
constexpr time_t settings_check_s = 5; ///< How often the settings file is looked at.

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
    if (addresses.ready_)
    {
        line["readiness"] = to_string(*addresses.ready_);
    }
    // Through the log, so that no other line breaks in.
    log_line(line.dump());
}

/// A place where the daemon runs.
struct deployment_row
{
    std::string_view name_;
    const deployment& (*instance_)();
    const char* settings_variable_; ///< Names the settings file in the environment; may be null.
};

constexpr std::array deployments{
    deployment_row{"own", &default_deployment, nullptr},
    deployment_row{"platform", &platform::platform_deployment, platform::settings_variable},
};

std::string settings_path(const deployment_row& place)
{
    const char* named =
        place.settings_variable_ != nullptr ? std::getenv(place.settings_variable_) : nullptr;
    return FLAGS_settings.empty() && named != nullptr ? std::string(named) : FLAGS_settings;
}

/// The settings file as it is watched while the daemon runs. It may change without a signal.
class settings_file
{
public:
    settings_file(const deployment& place, std::string path, std::string text)
        : place_(place), path_(std::move(path)), text_(std::move(text))
    {
    }

    /// Hands changed settings to the node; bad ones change nothing.
    void look(node& local, bool asked)
    {
        if (path_ == "-")
        {
            if (asked)
            {
                log_failure("settings", "standard input cannot be read again");
            }
            return;
        }
        const auto text = read_all(path_);
        if (!text)
        {
            if (asked || readable_)
            {
                log_failure("settings", "the former ones stay: " + last_reason().text_);
            }
            readable_ = false;
            return;
        }
        readable_ = true;
        if (*text == text_ && !asked)
        {
            return;
        }
        text_ = *text;
        const auto changed = place_.read_settings(*text);
        if (!changed)
        {
            log_failure("settings", "the changed file is not used: " + last_reason().text_);
            return;
        }
        local.reload(*changed, asked ? "signal" : "the file has changed");
    }

private:
    const deployment& place_;
    std::string path_;
    std::string text_;
    bool readable_ = true; ///< When it was last looked at.
};

/// Serves until a signal asks to stop.
void serve(node& local, settings_file& file, const sigset_t& signals)
{
    const timespec period{settings_check_s, 0};
    for (;;)
    {
        const int received = ::sigtimedwait(&signals, nullptr, &period);
        if (received == SIGTERM || received == SIGINT)
        {
            return;
        }
        file.look(local, received == SIGHUP);
    }
}

/// Whether a signal to stop has come since the last call.
bool stop_pending(const sigset_t& signals)
{
    const timespec at_once{0, 0};
    bool pending = false;
    for (int received = 0; received >= 0;)
    {
        received = ::sigtimedwait(&signals, nullptr, &at_once);
        pending = pending || received == SIGTERM || received == SIGINT;
    }
    return pending;
}

/// Blocks the signals that `serve()` waits for. Threads inherit that, so it comes before the first
/// one: a signal is delivered to any thread that does not block it, and would end the process.
sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const settings& own, const deployment& place, process_metrics& metrics, settings_file& file,
        const sigset_t& signals)
{
    node local(own, place, metrics);
    if (!local.start())
    {
        std::cerr << "bamboohoistd: " << last_reason().text_ << '\n';
        return exit_failed;
    }
    print_ready(own, local.addresses());
    serve(local, file, signals);
    local.leave([&signals] { return stop_pending(signals); });
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bamboohoistd --settings=FILE: one node of a bamboohoist fleet");
    gflags::SetVersionString(BAMBOOHOIST_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto place = std::ranges::find(deployments, FLAGS_deployment, &deployment_row::name_);
    if (place == deployments.end())
    {
        std::cerr << "bamboohoistd: no deployment \"" << FLAGS_deployment << "\"\n";
        return exit_bad_settings;
    }
    const std::string path = settings_path(*place);
    const auto text = read_all(path);
    const auto own = text ? place->instance_().read_settings(*text) : std::nullopt;
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
    install_crash_handler();
    const sigset_t signals = block_signals();
    process_metrics metrics;
    open_log(own->log_, metrics);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    settings_file file(place->instance_(), path, *text);
    const int result = run(*own, place->instance_(), metrics, file, signals);
    close_log();
    return result;
}
