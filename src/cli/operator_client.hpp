#ifndef BAMBOOHOIST_CLI_OPERATOR_CLIENT_HPP
#define BAMBOOHOIST_CLI_OPERATOR_CLIENT_HPP

#include "cli/command.hpp"
#include "core/message.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// A node's reply to a command of an operator.
struct operator_reply
{
    int status_ = 0; ///< HTTP status code.
    nlohmann::ordered_json body_;
};

/// Sends a request to the node given by `--node` and waits for the reply. Empty with a message on
/// standard error when the node does not reply with JSON.
std::optional<operator_reply> call_node(std::string_view method, std::string_view path,
                                        std::string_view body);

/// Reads a file, or standard input for `-`; empty with a message on standard error.
std::optional<std::string> read_file(std::string_view path);

/// Writes a file; false with a message on standard error.
bool write_file(std::string_view path, std::string_view text);

/// Prints the usage of a command and returns `bad_usage`.
exit_status usage_error(std::string_view name);

/// Prints why the node refused a request and returns `refused`.
exit_status print_refusal(const operator_reply& reply);

} // namespace bamboohoist

#endif
