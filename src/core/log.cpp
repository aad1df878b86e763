#include "core/log.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/trivial.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

namespace sinks = boost::log::sinks;

constexpr std::size_t max_queued_lines = 4096;

log_format current_format = log_format::text;
process_metrics* drop_metrics = nullptr;

/// Queue policy of Boost.Log that drops and counts the lines that arrive while the queue is full.
class drop_and_count_on_overflow
{
public:
    template <typename Lock>
    static bool on_overflow(const boost::log::record_view&, Lock&)
    {
        drop_metrics->add(counter::log_lines_dropped);
        return false;
    }

    static void on_queue_space_available() {}

    static void interrupt() {}
};

using queued_sink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<max_queued_lines, drop_and_count_on_overflow>>;

boost::shared_ptr<queued_sink> open_sink; ///< Boost.Log requires shared ownership of sinks.

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

void open_log(log_format format, process_metrics& metrics)
{
    current_format = format;
    drop_metrics = &metrics;
    const auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    open_sink = boost::make_shared<queued_sink>(backend);
    open_sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(open_sink);
}

void close_log()
{
    if (open_sink)
    {
        boost::log::core::get()->remove_sink(open_sink);
        open_sink->stop();
        open_sink->flush();
        open_sink.reset();
    }
}

void log_line(std::string_view line)
{
    BOOST_LOG_TRIVIAL(info) << line;
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
