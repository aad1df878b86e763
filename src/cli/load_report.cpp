#include "cli/load_report.hpp"

#include "cli/timeline_page.hpp"

#include <array>
#include <cmath>

namespace bamboohoist {

namespace {

using json = nlohmann::ordered_json;

constexpr std::array<double, 6> percentile_fractions{0.5, 0.9, 0.95, 0.99, 0.999, 1.0};
constexpr std::array<std::string_view, 6> percentile_names{"p50", "p90",   "p95",
                                                           "p99", "p99.9", "max"};

double rounded(double value)
{
    return std::round(value * 1000.0) / 1000.0;
}

json percentiles(const latency_samples& samples)
{
    json figures;
    for (std::size_t i = 0; i < percentile_fractions.size(); ++i)
    {
        figures[std::string(percentile_names[i])] =
            rounded(samples.percentile(percentile_fractions[i]));
    }
    return figures;
}

/// Plots the latency over the percentile. The axis is logarithmic: each additional nine of the
/// percentile takes the same width.
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
        const double fraction = 1.0 - std::pow(10.0, -nines * x);
        const double y = height - samples.percentile(fraction) / top * height;
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
    json outcomes;
    std::uint64_t requests = 0;
    for (const load_outcome request_outcome :
         {load_outcome::complete, load_outcome::wrong, load_outcome::not_run, load_outcome::unknown,
          load_outcome::failed, load_outcome::lost})
    {
        const auto found = result.outcomes_.find(request_outcome);
        const std::uint64_t count = found == result.outcomes_.end() ? 0 : found->second;
        outcomes[std::string(to_string(request_outcome))] = count;
        requests += count;
    }
    json kinds;
    for (const auto& [name, samples] : result.latencies_by_kind_)
    {
        kinds[name] = percentiles(samples);
    }
    return json{{"requests", requests},
                {"ends", std::move(outcomes)},
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
    return page + "</table>\n<h2>Latency by percentile</h2>\n" + percentile_svg(result.latencies_);
}

} // namespace bamboohoist
