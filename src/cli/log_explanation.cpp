#include "cli/log_explanation.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace bamboohoist {

namespace {

using json = nlohmann::ordered_json;

/// How long before a request what became known of its targets still matters.
constexpr std::int64_t context_ms = 5'000;

/// What an error kind of a last decision means for whoever asks.
struct cause_row
{
    error_kind kind_;
    std::string_view text_;
};

constexpr std::array causes{
    cause_row{error_kind::overloaded, "refused under load: no target had a slot free in time"},
    cause_row{error_kind::budget_exhausted, "refused: the budget of repeats was used up"},
    cause_row{error_kind::target_ejected,
              "refused: every target that was asked was out of use as ill"},
    cause_row{error_kind::no_target, "refused: no target of the service could take it"},
    cause_row{error_kind::not_ready, "refused: the node knew no configuration yet"},
    cause_row{error_kind::no_route, "refused: no route of the configuration matches it"},
    cause_row{error_kind::leaving, "refused or ended: the node or the target was leaving"},
    cause_row{error_kind::target_refused, "refused: the target itself said that it did not run it"},
    cause_row{error_kind::deadline_exceeded,
              "no answer in time: it hung at a target; whether it ran is not known"},
    cause_row{error_kind::target_stalled,
              "no answer in time: it hung at a target; whether it ran is not known"},
    cause_row{error_kind::target_lost,
              "unknown outcome: the target's connection ended after the request was sent"},
    cause_row{error_kind::target_crashed, "unknown outcome: the target died with it in hand"},
    cause_row{error_kind::peer_unreachable,
              "the path to the node beside the target failed; see the outcome"},
    cause_row{error_kind::target_unreachable, "not run: the target took no connection"},
};

std::string text_of(const json& line, const char* field)
{
    const auto found = line.find(field);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool is_about(const json& line, std::string_view subject)
{
    const std::string request = text_of(line, "request");
    const bool call = request.starts_with(std::string(subject) + ".");
    return request == subject || call || text_of(line, "subject") == subject ||
           text_of(line, "node") == subject;
}

/// Identifiers of targets in the inputs of a decision: `service@address:port`.
void gather_targets(std::string_view inputs, std::set<std::string, std::less<>>& targets)
{
    constexpr std::string_view word_ends = " ,;()";
    for (std::size_t at = inputs.find('@'); at != std::string_view::npos;
         at = inputs.find('@', at + 1))
    {
        const std::size_t before = inputs.find_last_of(word_ends, at);
        const std::size_t begin = before == std::string_view::npos ? 0 : before + 1;
        targets.emplace(inputs.substr(begin, inputs.find_first_of(word_ends, at) - begin));
    }
}

std::string cause_of(const json& last)
{
    const std::string decision = text_of(last, "decision");
    const std::string inputs = text_of(last, "inputs");
    if (decision == "answered by target")
    {
        return inputs.starts_with("status 5") ? "the target itself answered with an error" : "";
    }
    if (decision == "given up")
    {
        return "the caller went away before there was an answer";
    }
    const auto kind = parse_error_kind(inputs.substr(0, inputs.find_first_of(":;")));
    const auto row = kind ? std::ranges::find(causes, *kind, &cause_row::kind_) : causes.end();
    return row == causes.end() ? inputs : std::string(row->text_);
}

bool is_end(const json& line)
{
    constexpr std::array<std::string_view, 4> ends{"refused", "failed", "given up",
                                                   "answered by target"};
    return std::ranges::find(ends, text_of(line, "decision")) != ends.end();
}

/// The cause of the last end that satisfies a condition; empty when there is none.
template <typename Condition>
std::optional<std::string> last_cause(std::span<const log_record> lines, Condition holds)
{
    for (std::size_t i = lines.size(); i > 0; --i)
    {
        const json& line = lines[i - 1].line_;
        if (is_end(line) && holds(text_of(line, "request")))
        {
            return cause_of(line);
        }
    }
    return std::nullopt;
}

/// Why a request was not answered well, by the ends of itself and of the calls made for it.
std::string cause_of_story(std::span<const log_record> lines, std::string_view subject)
{
    const auto own = last_cause(lines, [&](std::string_view id) { return id == subject; });
    if (!own)
    {
        const bool is_request = std::ranges::any_of(
            lines, [](const log_record& record) { return record.line_.contains("request"); });
        return is_request ? "no process wrote its end: the node that took it may have ended first"
                          : "";
    }
    if (own->empty())
    {
        return "";
    }
    const auto call = last_cause(lines, [&](std::string_view id) { return id != subject; });
    return call && !call->empty() ? *own + "; a call made for it: " + *call : *own;
}

} // namespace

void read_log(std::istream& log, std::vector<log_record>& records)
{
    std::string text;
    while (std::getline(log, text))
    {
        const std::size_t begin = text.find('{');
        const json line = begin == std::string::npos
                              ? json()
                              : json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin),
                                            text.end(), nullptr, false);
        const auto at = line.is_object() ? line.find("at_ms") : line.end();
        if (line.is_object() && at != line.end() && at->is_number())
        {
            records.push_back({at->get<std::int64_t>(), line});
        }
    }
}

log_explanation explain_subject(std::span<const log_record> records, std::string_view subject)
{
    log_explanation story;
    std::set<std::string, std::less<>> targets;
    for (const log_record& record : records)
    {
        if (is_about(record.line_, subject))
        {
            story.lines_.push_back(record);
            gather_targets(text_of(record.line_, "inputs"), targets);
        }
    }
    std::ranges::stable_sort(story.lines_, {}, &log_record::at_ms_);
    if (story.lines_.empty())
    {
        return story;
    }
    const std::int64_t begin = story.lines_.front().at_ms_ - context_ms;
    const std::int64_t end = story.lines_.back().at_ms_;
    std::ranges::copy_if(records, std::back_inserter(story.related_),
                         [&](const log_record& record) {
                             return record.at_ms_ >= begin && record.at_ms_ <= end &&
                                    targets.contains(text_of(record.line_, "subject"));
                         });
    std::ranges::stable_sort(story.related_, {}, &log_record::at_ms_);
    story.cause_ = cause_of_story(story.lines_, subject);
    return story;
}

} // namespace bamboohoist
