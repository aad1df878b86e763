#include "core/latency_histogram.hpp"

#include "core/process_metrics.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("latency histogram counts each duration once in cumulative buckets")
{
    latency_histogram histogram;
    histogram.add(std::chrono::microseconds(300));
    histogram.add(std::chrono::milliseconds(5));
    histogram.add(std::chrono::milliseconds(7));
    histogram.add(std::chrono::seconds(60));
    histogram.add(
        std::chrono::milliseconds(-1)); // Clock readings in the wrong order count as zero.
    CHECK(histogram.count() == 5);
    const std::string text = histogram.exposition("x_seconds");
    CHECK(has_line(text, "# TYPE x_seconds histogram"));
    CHECK(has_line(text, "x_seconds_bucket{le=\"0.001\"} 2"));
    CHECK(has_line(text, "x_seconds_bucket{le=\"0.005\"} 3"));
    CHECK(has_line(text, "x_seconds_bucket{le=\"0.01\"} 4"));
    CHECK(has_line(text, "x_seconds_bucket{le=\"20.0\"} 4"));
    CHECK(has_line(text, "x_seconds_bucket{le=\"+Inf\"} 5"));
    CHECK(has_line(text, "x_seconds_count 5"));
    CHECK(has_line(text, "x_seconds_sum 60.0123"));
}

TEST_CASE("exposition of a process contains its counters and its histograms")
{
    process_metrics metrics;
    metrics.add(counter::requests);
    metrics.observe(latency::request, std::chrono::milliseconds(30));
    const std::string text = metrics.exposition();
    CHECK(has_line(text, "bamboohoist_requests_total 1"));
    CHECK(has_line(text, "bamboohoist_request_seconds_bucket{le=\"0.05\"} 1"));
    CHECK(has_line(text, "bamboohoist_slot_seconds_count 0"));
    CHECK(has_line(text, "bamboohoist_store_call_seconds_count 0"));
}
