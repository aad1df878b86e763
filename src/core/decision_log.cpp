#include "core/decision_log.hpp"

#include "core/hash.hpp"
#include "core/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

/// One successful request out of this many is written.
constexpr std::uint64_t sample_period = 64;
/// Token bucket that limits the lines of one thread.
constexpr double lines_per_second = 100.0;
constexpr double max_burst_lines = 300.0;

} // namespace

decision_log::decision_log(std::string node, const clock_source& clock, process_metrics& metrics)
    : node_(std::move(node)), clock_(clock), metrics_(metrics), tokens_(max_burst_lines),
      refilled_(clock.now())
{
}

bool decision_log::is_sampled(std::string_view request)
{
    return hash_text(request) % sample_period == 0;
}

void decision_log::write(const request_decision& entry)
{
    if (!take_token())
    {
        ++suppressed_;
        metrics_.add(counter::log_lines_suppressed);
        return;
    }
    nlohmann::ordered_json line{{"at_ms", clock_.wall_ms()},  {"node", node_},
                                {"request", entry.request_},  {"decision", entry.decision_},
                                {"inputs", entry.inputs_},    {"outcome", entry.outcome_},
                                {"revision", entry.revision_}};
    if (suppressed_ > 0)
    {
        line["suppressed"] = suppressed_;
        suppressed_ = 0;
    }
    log_line(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

bool decision_log::take_token()
{
    const instant now = clock_.now();
    const double elapsed_s = std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    tokens_ = std::min(max_burst_lines, tokens_ + elapsed_s * lines_per_second);
    if (tokens_ < 1.0)
    {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace bamboohoist
