#ifndef BAMBOOHOIST_CLI_COMMAND_HPP
#define BAMBOOHOIST_CLI_COMMAND_HPP

#include <span>
#include <string_view>

namespace bamboohoist {

/// Exit statuses of `bamboohoist`.
enum class exit_status
{
    done = 0,
    refused = 1,     ///< The request was refused, or nothing was found.
    bad_usage = 2,   ///< The command line or a file is invalid; nothing was sent.
    unreachable = 3, ///< The node did not respond.
};

/// The arguments after the name of a command.
using arguments = std::span<const std::string_view>;

/// One command of the command line.
struct command
{
    std::string_view name_;
    std::string_view usage_;   ///< Arguments and flags.
    std::string_view summary_; ///< One line.
    exit_status (*run_)(arguments);
};

/// Returns all commands in the order of the help text.
std::span<const command> commands();

exit_status run_check(arguments args);
exit_status run_apply(arguments args);
exit_status run_status(arguments args);
exit_status run_timeline(arguments args);
exit_status run_explain(arguments args);
exit_status run_drain(arguments args);
exit_status run_release(arguments args);
exit_status run_load(arguments args);

} // namespace bamboohoist

#endif
