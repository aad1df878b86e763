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

/// One line of a process's log.
struct log_record
{
    std::int64_t at_ms_ = 0;
    nlohmann::ordered_json line_;
};

/// Adds the JSON lines of a log to `records`. Whatever stands before the first brace of a line, as
/// a collector of logs may put it there, and lines that are no records are passed over.
void read_log(std::istream& log, std::vector<log_record>& records);

/// What the logs say about a subject: a request with the calls that were made for it, a backend
/// server or a node.
struct log_explanation
{
    std::vector<log_record> lines_;   ///< About it, in the order of their times.
    std::vector<log_record> related_; ///< What became known of the targets of a request meanwhile.
    std::string cause_;               ///< Of a request that was not answered well; may be empty.
};

log_explanation explain_subject(std::span<const log_record> records, std::string_view subject);

} // namespace bamboohoist

#endif
