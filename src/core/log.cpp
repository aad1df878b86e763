#include "core/log.hpp"

#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

log_format current_format = log_format::text;

std::string json_line(const event& entry)
{
    nlohmann::ordered_json line;
    line["at_ms"] = entry.at_.wall_ms_;
    line["node"] = entry.node_;
    line["subject"] = entry.subject_;
    line["what"] = entry.what_;
    line["rule"] = entry.rule_;
    line["evidence"] = entry.evidence_;
    line["revision"] = entry.revision_;
    line["note"] = entry.note_;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string text_line(const event& entry)
{
    std::string line = entry.node_ + " " + entry.subject_ + ": " + entry.what_;
    if (!entry.rule_.empty())
    {
        line += " [" + entry.rule_ + "]";
    }
    if (!entry.evidence_.empty())
    {
        line += " " + entry.evidence_;
    }
    return line;
}

} // namespace

void open_log(log_format format)
{
    current_format = format;
    boost::log::add_console_log(std::cerr, boost::log::keywords::auto_flush = true,
                                boost::log::keywords::format = "%Message%");
}

void log_event(const event& entry)
{
    const bool json = current_format == log_format::json;
    BOOST_LOG_TRIVIAL(info) << (json ? json_line(entry) : text_line(entry));
}

void log_failure(std::string_view subject, std::string_view text)
{
    event entry;
    entry.subject_ = std::string(subject);
    entry.what_ = std::string(text);
    const bool json = current_format == log_format::json;
    BOOST_LOG_TRIVIAL(error) << (json ? json_line(entry) : text_line(entry));
}

} // namespace bamboohoist
