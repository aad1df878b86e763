#include "core/latency_histogram.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

std::string format_seconds(double value_ms)
{
    std::string text = std::to_string(value_ms / 1000.0);
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text + "0" : text;
}

} // namespace

void latency_histogram::add(duration taken)
{
    const double taken_ms = std::max(0.0, to_ms(taken));
    const auto bound = std::ranges::lower_bound(bounds_ms, taken_ms);
    const auto index = static_cast<std::size_t>(bound - bounds_ms.begin());
    buckets_[index].fetch_add(1, std::memory_order_relaxed);
    sum_us_.fetch_add(static_cast<std::uint64_t>(taken_ms * 1000.0), std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const
{
    std::uint64_t sum = 0;
    for (const auto& bucket : buckets_)
    {
        sum += bucket.load(std::memory_order_relaxed);
    }
    return sum;
}

std::string latency_histogram::exposition(std::string_view name) const
{
    const std::string base(name);
    std::string text = "# TYPE " + base + " histogram\n";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bounds_ms.size(); ++i)
    {
        cumulative += buckets_[i].load(std::memory_order_relaxed);
        text += base + "_bucket{le=\"" + format_seconds(bounds_ms[i]) + "\"} " +
                std::to_string(cumulative) + "\n";
    }
    const std::uint64_t total = cumulative + buckets_.back().load(std::memory_order_relaxed);
    const auto sum_us = static_cast<double>(sum_us_.load(std::memory_order_relaxed));
    text += base + "_bucket{le=\"+Inf\"} " + std::to_string(total) + "\n";
    text += base + "_sum " + format_seconds(sum_us / 1000.0) + "\n";
    text += base + "_count " + std::to_string(total) + "\n";
    return text;
}

} // namespace bamboohoist
