#include "daemon/response_statistics.hpp"

namespace bamboohoist {

namespace {

constexpr double latency_smoothing_factor = 0.2;

bool is_good(const forwarded_response& response)
{
    return response.error_ == error_kind::none &&
           response.message_.status_ < first_server_error_status;
}

bool is_bad(const forwarded_response& response, const service_baseline& baseline)
{
    return target_health::classify(response.slot_ms_, !is_good(response), baseline) !=
           observation::good;
}

double elapsed_ms(const attempt_response& attempt)
{
    return to_ms(attempt.received_ - attempt.sent_);
}

} // namespace

void record_response(const attempt_response& attempt, target_stats& target)
{
    const forwarded_response& response = attempt.response_;
    target.path_.record_success();
    target.reported_load_ = response.load_.running_ + response.load_.queued_;
    target.reported_weight_ = response.weight_;
    target.reported_at_ = attempt.received_;
    if (attempt.trial_ && response.error_ == error_kind::target_ejected)
    {
        target.trials_.on_refused();
    }
    if (attempt.trial_ && is_good(response))
    {
        target.trials_.on_good();
    }
    if (response.slot_ms_ > 0.0 && is_good(response))
    {
        // Errors come fast; counted here, they would make a failing target attractive.
        target.latency_ms_ += latency_smoothing_factor * (elapsed_ms(attempt) - target.latency_ms_);
    }
}

void record_response(const attempt_response& attempt, const service_baseline& baseline,
                     route_stats& route)
{
    const forwarded_response& response = attempt.response_;
    if (response.slot_ms_ <= 0.0)
    {
        return;
    }
    if (response.error_ == error_kind::none)
    {
        route.latency_.add(elapsed_ms(attempt));
    }
    route.baseline_estimator_.add(response.slot_ms_, is_bad(response, baseline));
}

} // namespace bamboohoist
