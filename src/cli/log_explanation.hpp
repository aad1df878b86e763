#ifndef BAMBOOHOIST_CLI_LOG_EXPLANATION_HPP
#define BAMBOOHOIST_CLI_LOG_EXPLANATION_HPP

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// One JSON line of a process's log.
struct log_record
{
    std::int64_t at_ms_ = 0;
    nlohmann::ordered_json line_;
};

/// Adds the JSON lines of a log to `records`. Ignores text before the first brace of a line, such
/// as the prefix of a log collector, and lines that are not records.
void read_log(std::istream& log, std::vector<log_record>& records);

/// The log lines about a subject: a request with the calls made for it, a backend server or a node.
struct log_explanation
{
    std::vector<log_record> lines_;   ///< Lines about the subject, in order of time.
    std::vector<log_record> related_; ///< Lines about the targets of a request at that time.
    std::string cause_;               ///< Why a request was not successful; may be empty.
};

log_explanation explain_subject(std::span<const log_record> records, std::string_view subject);

} // namespace bamboohoist

#endif
