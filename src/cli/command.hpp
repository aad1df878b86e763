#ifndef BAMBOOHOIST_CLI_COMMAND_HPP
#define BAMBOOHOIST_CLI_COMMAND_HPP

#include <span>
#include <string_view>

namespace bamboohoist {

/// Exit statuses of `bamboohoist`.
enum class exit_status
{
    done = 0,
    refused = 1,     ///< The fleet said no, or what was asked for is not so.
    bad_usage = 2,   ///< The command line or a file is wrong; nothing was sent.
    unreachable = 3, ///< No node answered.
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

/// All commands in the order of the help.
std::span<const command> commands();

exit_status run_check(arguments words);
exit_status run_apply(arguments words);
exit_status run_status(arguments words);
exit_status run_timeline(arguments words);
exit_status run_explain(arguments words);
exit_status run_drain(arguments words);
exit_status run_release(arguments words);
exit_status run_load(arguments words);

} // namespace bamboohoist

#endif
