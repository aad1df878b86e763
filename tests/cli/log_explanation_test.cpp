#include "cli/log_explanation.hpp"

#include <doctest/doctest.h>
#include <sstream>

using namespace bamboohoist;

namespace {

/// Lines of several processes, as a log collector writes them to one file, out of order.
constexpr std::string_view logs = R"(
  3.20 node-b {"at_ms":3200,"node":"b","request":"77.1","decision":"failed","inputs":"deadline-exceeded: no answer; attempts 1, reached 1, newest target p@10.0.0.3:80","outcome":"unknown"}
  1.00 node-a {"at_ms":1000,"node":"a","request":"77","decision":"retry","inputs":"leaving; attempts 1, reached 0, newest target s@10.0.0.1:80, left 900 ms","outcome":"not-run"}
this is no record
{"at_ms":900,"node":"c","subject":"s@10.0.0.1:80","what":"target leaving","rule":"announced"}
{"at_ms":901,"node":"c","subject":"s@10.0.0.9:80","what":"target leaving","rule":"announced"}
{"at_ms":1500,"node":"a","request":"78","decision":"refused","inputs":"no-route: none","outcome":"not-run"}
{"at_ms":2000,"node":"a","request":"77","decision":"refused","inputs":"overloaded: s@10.0.0.2:80 has no slot in time; attempts 2","outcome":"not-run"}
{"at_ms":"late","node":"a","request":"77"}
)";

std::vector<log_record> read_sample_logs()
{
    std::vector<log_record> records;
    std::istringstream text{std::string(logs)};
    read_log(text, records);
    return records;
}

} // namespace

TEST_CASE("the logs of several processes explain the outcome of one request")
{
    const auto records = read_sample_logs();
    CHECK(records.size() == 6);
    const log_explanation explanation = explain_subject(records, "77");
    REQUIRE(explanation.lines_.size() == 3);
    CHECK(explanation.lines_[0].at_ms_ == 1000);
    CHECK(explanation.lines_[2].line_["request"] == "77.1");
    REQUIRE(explanation.related_.size() == 1);
    CHECK(explanation.related_[0].at_ms_ == 900);
    CHECK(explanation.cause_ ==
          "refused under load: no target had a free slot in time; a call made for it: no "
          "response in time: the request hung at a target; whether it ran is not known");
}

TEST_CASE("a successful request has no cause, and an unknown request has no lines")
{
    std::vector<log_record> records;
    std::istringstream text(
        R"({"at_ms":1,"node":"a","request":"5","decision":"answered by target","inputs":"status 200","outcome":"ran"})");
    read_log(text, records);
    CHECK(explain_subject(records, "5").cause_.empty());
    CHECK(explain_subject(records, "6").lines_.empty());
    CHECK(explain_subject(records, "a").lines_.size() == 1);
    std::istringstream truncated(R"({"at_ms":2,"node":"a","request":"7","decision":"retry"})");
    read_log(truncated, records);
    CHECK(explain_subject(records, "7").cause_.starts_with("no process wrote its end"));
}
