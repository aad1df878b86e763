/// The commands `status`, `timeline` and `explain`, which only read.

#include "cli/flags.hpp"
#include "cli/log_explanation.hpp"
#include "cli/operator_client.hpp"
#include "cli/timeline_page.hpp"
#include "core/clock.hpp"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <sstream>

namespace bamboohoist {

namespace {

using json = nlohmann::ordered_json;

std::string format_time(std::int64_t wall_ms)
{
    const std::time_t seconds = wall_ms / 1000;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%H:%M:%S", &parts);
    char with_millis[48];
    std::snprintf(with_millis, sizeof with_millis, "%.*s.%03d", static_cast<int>(length), text,
                  static_cast<int>(wall_ms % 1000));
    return with_millis;
}

void print_note(const json& note, std::string_view indent)
{
    std::cout << indent << note.value("who", "") << ": " << note.value("why", "");
    if (!note.value("until", "").empty())
    {
        std::cout << " (until " << note.value("until", "") << ")";
    }
    std::cout << '\n';
}

void print_target(const json& target)
{
    std::cout << "      " << target.value("target", "") << "  slots " << target.value("slots", 0)
              << "  weight " << target.value("weight", 0) << '%'
              << (target.value("leaving", false) ? "  leaving" : "")
              << (target.value("weight", 0) <= 1 ? "  ejected" : "") << '\n';
}

void print_status(const json& status)
{
    const json& newest = status["newest"];
    std::cout << "revision " << newest.value("revision", 0)
              << (newest.value("accepted", false) ? " accepted" : " proposed, not yet accepted")
              << "; in force at " << status.value("node", "") << ": " << status.value("in_force", 0)
              << '\n';
    print_note(newest["note"], "  applied by ");
    std::cout << "day notes:\n";
    for (const json& note : status["day_notes"])
    {
        print_note(note, "  ");
    }
    for (const json& node : status["nodes"])
    {
        std::cout << "  " << node.value("region", "") << '/' << node.value("domain", "") << '/'
                  << node.value("node", "") << "  " << node.value("state", "") << '\n';
        for (const json& target : node["targets"])
        {
            print_target(target);
        }
    }
}

void print_event(const json& entry)
{
    std::cout << format_time(entry.value("at_ms", std::int64_t{0})) << "  "
              << entry.value("node", "") << "  " << entry.value("subject", "") << ": "
              << entry.value("what", "") << '\n';
    for (const char* part : {"rule", "evidence", "note"})
    {
        if (!entry.value(part, "").empty())
        {
            std::cout << "              " << part << ": " << entry.value(part, "") << '\n';
        }
    }
}

/// Fetches the events about a subject of the last `since_s` seconds from all nodes; empty when the
/// node does not respond.
std::optional<operator_reply> fetch_events(double since_s, std::string_view subject)
{
    const system_clock clock;
    const auto since_ms = clock.wall_ms() - static_cast<std::int64_t>(since_s * 1000.0);
    const std::string path =
        "/v1/timeline?since_ms=" + std::to_string(since_ms) + "&subject=" + std::string(subject);
    return call_node("GET", path, "");
}

void print_unreachable(const json& body)
{
    for (const json& node : body["unreachable"])
    {
        std::cout << "(node " << node.get<std::string>()
                  << " did not respond: its events are missing)\n";
    }
}

void print_json_lines(const json& body)
{
    for (const json& entry : body["events"])
    {
        std::cout << entry.dump() << '\n';
    }
    for (const json& node : body["unreachable"])
    {
        std::cout << json{{"unreachable", node}}.dump() << '\n';
    }
}

void print_decision(const json& line)
{
    std::cout << format_time(line.value("at_ms", std::int64_t{0})) << "  " << line.value("node", "")
              << "  " << line.value("request", "") << ": " << line.value("decision", "") << " ("
              << line.value("outcome", "") << ")\n              " << line.value("inputs", "")
              << '\n';
}

void print_record(const log_record& record)
{
    if (FLAGS_json)
    {
        std::cout << record.line_.dump() << '\n';
        return;
    }
    record.line_.contains("request") ? print_decision(record.line_) : print_event(record.line_);
}

exit_status explain_from_logs(std::string_view subject, arguments paths)
{
    std::vector<log_record> records;
    for (const std::string_view path : paths)
    {
        const auto text = read_file(path);
        if (!text)
        {
            return exit_status::bad_usage;
        }
        std::istringstream log(*text);
        read_log(log, records);
    }
    const log_explanation explanation = explain_subject(records, subject);
    if (explanation.lines_.empty())
    {
        std::cerr << "bamboohoist: the logs have no line about \"" << subject << "\"\n";
        return exit_status::refused;
    }
    std::ranges::for_each(explanation.lines_, &print_record);
    if (FLAGS_json)
    {
        return exit_status::done;
    }
    if (!explanation.related_.empty())
    {
        std::cout << "events of its targets at that time:\n";
        std::ranges::for_each(explanation.related_, &print_record);
    }
    std::cout << (explanation.cause_.empty() ? "" : "cause: " + explanation.cause_ + "\n");
    return exit_status::done;
}

} // namespace

exit_status run_status(arguments args)
{
    if (!args.empty())
    {
        return usage_error("status");
    }
    const auto reply = call_node("GET", "/v1/status", "");
    if (!reply)
    {
        return exit_status::unreachable;
    }
    if (FLAGS_json)
    {
        std::cout << reply->body_.dump() << '\n';
        return exit_status::done;
    }
    print_status(reply->body_);
    return exit_status::done;
}

exit_status run_timeline(arguments args)
{
    if (!args.empty())
    {
        return usage_error("timeline");
    }
    const auto reply = fetch_events(FLAGS_since, FLAGS_subject);
    if (!reply)
    {
        return exit_status::unreachable;
    }
    if (!FLAGS_html.empty())
    {
        return write_file(FLAGS_html, timeline_page(reply->body_)) ? exit_status::done
                                                                   : exit_status::bad_usage;
    }
    if (FLAGS_json)
    {
        print_json_lines(reply->body_);
        return exit_status::done;
    }
    for (const json& entry : reply->body_["events"])
    {
        print_event(entry);
    }
    print_unreachable(reply->body_);
    return exit_status::done;
}

exit_status run_explain(arguments args)
{
    if (args.empty())
    {
        return usage_error("explain");
    }
    if (args.size() > 1)
    {
        return explain_from_logs(args.front(), args.subspan(1));
    }
    constexpr double explain_lookback_s = 7.0 * 24 * 3600;
    const auto reply = fetch_events(explain_lookback_s, args.front());
    if (!reply)
    {
        return exit_status::unreachable;
    }
    if (FLAGS_json)
    {
        print_json_lines(reply->body_);
    }
    else
    {
        for (const json& entry : reply->body_["events"])
        {
            print_event(entry);
        }
        print_unreachable(reply->body_);
    }
    if (reply->body_["events"].empty())
    {
        std::cerr << "bamboohoist: no node has an event about \"" << args.front() << "\"\n";
        return exit_status::refused;
    }
    return exit_status::done;
}

} // namespace bamboohoist
