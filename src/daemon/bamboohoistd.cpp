/// The daemon that runs on each VM with backend servers: reads its settings, runs a node and leaves
/// the fleet in an orderly way on SIGTERM or SIGINT. SIGHUP makes it read its settings again.

#include "core/crash_handler.hpp"
#include "daemon/node.hpp"
#include "daemon/process_limits.hpp"
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
              "path of the settings file (JSON); - reads standard input; by default the path is "
              "taken from the environment variable of the deployment");
DEFINE_string(deployment, "own", "the environment in which the daemon runs: own or platform");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace bamboohoist;

constexpr int exit_bad_settings = 2;
constexpr int exit_failed = 1;
constexpr time_t settings_check_period_s = 5; ///< How often the settings file is read.

std::optional<std::string> read_file(const std::string& path)
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

/// Prints one line with the node's addresses for the program that started the process.
void print_ready(const settings& node_settings, const node_addresses& addresses)
{
    nlohmann::ordered_json line;
    line["ready"] = node_settings.node_;
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
    // Written through the log so that it can't be mixed with other log lines.
    log_line(line.dump());
}

/// One value of the flag `deployment`.
struct deployment_row
{
    std::string_view name_;
    const deployment& (*instance_)();
    const char* settings_variable_; ///< Environment variable with the settings' path; may be null.
};

constexpr std::array deployments{
    deployment_row{"own", &default_deployment, nullptr},
    deployment_row{"platform", &platform::platform_deployment, platform::settings_variable},
};

std::string settings_path(const deployment_row& row)
{
    const char* variable =
        row.settings_variable_ != nullptr ? std::getenv(row.settings_variable_) : nullptr;
    return FLAGS_settings.empty() && variable != nullptr ? std::string(variable) : FLAGS_settings;
}

/// Detects changes of the settings file while the daemon runs. The file may change without a
/// signal.
class settings_file
{
public:
    settings_file(const deployment& active_deployment, std::string path, std::string text)
        : deployment_(active_deployment), path_(std::move(path)), text_(std::move(text))
    {
    }

    /// Reads the file and passes changed settings to the node; invalid ones are ignored.
    /// `requested` is true when a signal asked for it, which also reloads an unchanged file.
    void check(node& local, bool requested)
    {
        if (path_ == "-")
        {
            if (requested)
            {
                log_failure(
                    "settings",
                    "the settings were read from standard input, which cannot be read again");
            }
            return;
        }
        const auto text = read_file(path_);
        if (!text)
        {
            if (requested || readable_)
            {
                log_failure("settings",
                            "the previous settings stay in use: " + last_reason().text_);
            }
            readable_ = false;
            return;
        }
        readable_ = true;
        if (*text == text_ && !requested)
        {
            return;
        }
        text_ = *text;
        const auto changed = deployment_.read_settings(*text);
        if (!changed)
        {
            log_failure("settings",
                        "the changed file is invalid, the previous settings stay in use: " +
                            last_reason().text_);
            return;
        }
        local.reload(*changed, requested ? "signal" : "the file has changed");
    }

private:
    const deployment& deployment_;
    std::string path_;
    std::string text_;
    bool readable_ = true; ///< At the last check.
};

/// Checks the settings file until a signal to stop arrives.
void wait_for_stop(node& local, settings_file& file, const sigset_t& signals)
{
    const timespec period{settings_check_period_s, 0};
    for (;;)
    {
        const int received = ::sigtimedwait(&signals, nullptr, &period);
        if (received == SIGTERM || received == SIGINT)
        {
            return;
        }
        file.check(local, received == SIGHUP);
    }
}

/// Waits for a signal for at most `limit`. True when it is one to stop.
bool wait_for_stop_signal(const sigset_t& signals, duration limit)
{
    const auto left = std::max(limit, duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
    const timespec timeout{seconds.count(), static_cast<long>((left - seconds).count())};
    const int received = ::sigtimedwait(&signals, nullptr, &timeout);
    return received == SIGTERM || received == SIGINT;
}

/// Blocks the signals that `wait_for_stop()` waits for. To be called before the first thread is
/// started, as threads inherit the mask: a signal is delivered to any thread that does not block
/// it, and would end the process.
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

int run(const settings& node_settings, const deployment& active_deployment,
        process_metrics& metrics, settings_file& file, const sigset_t& signals)
{
    node local(node_settings, active_deployment, metrics);
    if (!local.start())
    {
        std::cerr << "bamboohoistd: " << last_reason().text_ << '\n';
        return exit_failed;
    }
    print_ready(node_settings, local.addresses());
    wait_for_stop(local, file, signals);
    local.leave([&signals](duration limit) { return wait_for_stop_signal(signals, limit); });
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bamboohoistd --settings=FILE: one node of a bamboohoist fleet");
    gflags::SetVersionString(BAMBOOHOIST_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto row = std::ranges::find(deployments, FLAGS_deployment, &deployment_row::name_);
    if (row == deployments.end())
    {
        std::cerr << "bamboohoistd: unknown deployment \"" << FLAGS_deployment
                  << "\"; expected own or platform\n";
        return exit_bad_settings;
    }
    const std::string path = settings_path(*row);
    const auto text = read_file(path);
    const auto node_settings = text ? row->instance_().read_settings(*text) : std::nullopt;
    if (!node_settings)
    {
        std::cerr << "bamboohoistd: " << last_reason().text_ << '\n';
        return exit_bad_settings;
    }
    if (FLAGS_check)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    set_up_allocator();
    install_crash_handler();
    const sigset_t signals = block_signals();
    process_metrics metrics;
    open_log(node_settings->log_, metrics);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    settings_file file(row->instance_(), path, *text);
    const int result = run(*node_settings, row->instance_(), metrics, file, signals);
    close_log();
    return result;
}
