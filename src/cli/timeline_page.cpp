#include "cli/timeline_page.hpp"

#include <algorithm>
#include <map>

namespace bamboohoist {

namespace {

using json = nlohmann::ordered_json;

constexpr int plot_width = 1000;
constexpr int label_width = 260;
constexpr int row_height = 18;

std::int64_t time_of(const json& entry)
{
    return entry.value("at_ms", std::int64_t{0});
}

std::string element(std::string_view name, const json& value)
{
    const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    return "<" + std::string(name) + ">" + escape_html(text) + "</" + std::string(name) + ">";
}

} // namespace

std::string escape_html(std::string_view text)
{
    std::string escaped;
    for (const char character : text)
    {
        switch (character)
        {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

std::string timeline_svg(const json& body)
{
    const json& events = body["events"];
    std::map<std::string, int> rows;
    for (const json& entry : events)
    {
        rows.emplace(entry.value("subject", ""), 0);
    }
    int next = 0;
    for (auto& [subject, row] : rows)
    {
        row = next++;
    }
    const std::int64_t first = events.empty() ? 0 : time_of(events.front());
    const std::int64_t last = events.empty() ? 1 : std::max(time_of(events.back()), first + 1);
    const int height = (next + 2) * row_height;
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                      std::to_string(plot_width + label_width) + "\" height=\"" +
                      std::to_string(height) + "\" font-family=\"sans-serif\" font-size=\"11\">\n";
    for (const auto& [subject, row] : rows)
    {
        const int y = (row + 1) * row_height;
        svg += "<text x=\"4\" y=\"" + std::to_string(y + 4) + "\">" + escape_html(subject) +
               "</text><line x1=\"" + std::to_string(label_width) + "\" x2=\"" +
               std::to_string(label_width + plot_width) + "\" y1=\"" + std::to_string(y) +
               "\" y2=\"" + std::to_string(y) + "\" stroke=\"#ddd\"/>\n";
    }
    for (const json& entry : events)
    {
        const auto x = label_width + (time_of(entry) - first) * plot_width / (last - first);
        const int y = (rows[entry.value("subject", "")] + 1) * row_height;
        svg += "<circle cx=\"" + std::to_string(x) + "\" cy=\"" + std::to_string(y) +
               "\" r=\"4\" fill=\"#356\"><title>" + escape_html(entry.value("what", "")) + " — " +
               escape_html(entry.value("rule", "")) + "</title></circle>\n";
    }
    svg += "<text x=\"" + std::to_string(label_width) + "\" y=\"" + std::to_string(height - 6) +
           "\">" + std::to_string(last - first) + " ms from left to right</text>\n</svg>\n";
    return svg;
}

std::string timeline_page(const json& body)
{
    std::string page = "<!doctype html><meta charset=\"utf-8\"><title>Time line</title>\n"
                       "<h1>Time line</h1>\n" +
                       timeline_svg(body) +
                       "<table border=\"1\" cellspacing=\"0\" cellpadding=\"3\">\n<tr>";
    constexpr std::string_view columns[] = {"at_ms", "node",     "subject", "what",
                                            "rule",  "evidence", "note"};
    for (const std::string_view column : columns)
    {
        page += element("th", column);
    }
    page += "</tr>\n";
    for (const json& entry : body["events"])
    {
        page += "<tr>";
        for (const std::string_view column : columns)
        {
            page += element("td", entry.value(column, json("")));
        }
        page += "</tr>\n";
    }
    page += "</table>\n";
    for (const json& node : body["unreachable"])
    {
        page += element("p", "No response from node " + node.get<std::string>());
    }
    return page;
}

} // namespace bamboohoist
