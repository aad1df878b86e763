#include "cli/load_report.hpp"

#include "cli/timeline_page.hpp"

#include <array>
#include <cmath>

namespace bamboohoist {

namespace {

using json = nlohmann::ordered_json;

constexpr std::array<double, 6> shares{0.5, 0.9, 0.95, 0.99, 0.999, 1.0};
constexpr std::array<std::string_view, 6> share_names{"p50", "p90", "p95", "p99", "p99.9", "max"};

double rounded(double value)
{
    return std::round(value * 1000.0) / 1000.0;
}

json percentiles(const latency_samples& samples)
{
    json figures;
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        figures[std::string(share_names[i])] = rounded(samples.percentile(shares[i]));
    }
    return figures;
}

/// Latency over the share of requests, which is drawn so that each nine takes the same width.
std::string percentile_svg(const latency_samples& samples)
{
    constexpr double width = 800.0;
    constexpr double height = 300.0;
    constexpr double nines = 4.0;
    constexpr int steps = 200;
    const double top = std::max(samples.percentile(1.0), 0.001);
    std::string points;
    for (int i = 0; i <= steps; ++i)
    {
        const double x = static_cast<double>(i) / steps;
        const double share = 1.0 - std::pow(10.0, -nines * x);
        const double y = height - samples.percentile(share) / top * height;
        points += std::to_string(x * width) + "," + std::to_string(y) + " ";
    }
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"820\" height=\"330\">"
           "<polyline fill=\"none\" stroke=\"#356\" stroke-width=\"2\" points=\"" +
           points + "\"/><text x=\"4\" y=\"14\">" + std::to_string(rounded(top)) +
           " ms</text><text x=\"4\" y=\"325\">0%</text><text x=\"200\" y=\"325\">90%</text>"
           "<text x=\"400\" y=\"325\">99%</text><text x=\"600\" y=\"325\">99.9%</text></svg>\n";
}

} // namespace

nlohmann::ordered_json load_report_json(const load_result& result)
{
    json ends;
    std::uint64_t requests = 0;
    for (const load_outcome end :
         {load_outcome::complete, load_outcome::wrong, load_outcome::not_run, load_outcome::unknown,
          load_outcome::failed, load_outcome::lost})
    {
        const auto found = result.outcomes_.find(end);
        const std::uint64_t count = found == result.outcomes_.end() ? 0 : found->second;
        ends[std::string(to_string(end))] = count;
        requests += count;
    }
    json kinds;
    for (const auto& [name, samples] : result.latencies_by_kind_)
    {
        kinds[name] = percentiles(samples);
    }
    return json{{"requests", requests},
                {"ends", std::move(ends)},
                {"errors", result.errors_},
                {"sends", result.sends_},
                {"elapsed_s", rounded(result.elapsed_s_)},
                {"latency_ms", percentiles(result.latencies_)},
                {"kinds", std::move(kinds)},
                {"whole_by_organisation", result.complete_by_organisation_}};
}

std::string load_report_page(const load_result& result)
{
    const json figures = load_report_json(result);
    std::string page = "<!doctype html><meta charset=\"utf-8\"><title>Load report</title>\n"
                       "<h1>Load report</h1>\n<table border=\"1\" cellpadding=\"3\">\n";
    for (const auto& [name, value] : figures.items())
    {
        page += "<tr><th>" + escape_html(name) + "</th><td>" + escape_html(value.dump()) +
                "</td></tr>\n";
    }
    return page + "</table>\n<h2>Latency by share of requests</h2>\n" +
           percentile_svg(result.latencies_);
}

} // namespace bamboohoist
