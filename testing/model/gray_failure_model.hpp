#ifndef BAMBOOHOIST_TESTING_GRAY_FAILURE_MODEL_HPP
#define BAMBOOHOIST_TESTING_GRAY_FAILURE_MODEL_HPP

#include "core/random_source.hpp"
#include "policy/target_choice.hpp"
#include "policy/target_health.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace bamboohoist::testing {

/// How the requests of a failing target end.
enum class failure_mode
{
    hang,   ///< There is no response.
    errors, ///< There is an error at once.
};

/// Parameters of a service whose targets fail for some seconds at random times.
struct gray_failure_options
{
    std::size_t targets_ = 8;
    std::uint32_t slots_ = 7;
    double rate_ = 30.0;               ///< Requests per second.
    double idempotent_fraction_ = 0.5; ///< The other requests run at most once.
    double median_ms_ = 500.0;
    double sigma_ = 0.4; ///< Shape of the log-normal latencies.
    failure_mode mode_ = failure_mode::hang;
    double failing_s_ = 6.0;         ///< Mean time for which a target fails.
    double healthy_s_ = 14.0;        ///< Mean time between two failures of a target.
    double failing_fraction_ = 0.75; ///< Fraction of a failing target's requests that fail.
    duration news_delay_{};          ///< Until the choice knows of a changed weight.
    double seconds_ = 300.0;
    bool trials_allowed_ = true; ///< Ejected targets get single requests as trials.
    std::uint64_t seed_ = 1;
};

/// The result of a run.
struct gray_failure_result
{
    std::uint64_t requests_ = 0;
    std::uint64_t failed_ = 0;                ///< Requests, or attempts of them, that failed.
    std::uint64_t failed_non_idempotent_ = 0; ///< Those of requests that run at most once.
    double healthy_ejected_s_ = 0.0; ///< Total time for which healthy targets were ejected.
};

/// Simulates such a service under an injected clock, with the product's choice of targets and
/// health decisions. Requests that may be repeated are sent again after an error.
class gray_failure_model
{
public:
    explicit gray_failure_model(const gray_failure_options& options);

    gray_failure_result run();

private:
    struct model_target
    {
        std::uint32_t running_ = 0;
        target_health health_{health_goal::first_signs};
        bool failing_ = false;
        instant switches_at_;       ///< When it starts or stops failing.
        double known_weight_ = 1.0; ///< As the choice knows it.
        double news_weight_ = 1.0;  ///< The newest weight, on its way.
        instant news_at_;           ///< When that weight is known.
        trial_clock trials_;
    };

    /// A stall check or the end of a request at a target.
    struct step
    {
        instant at_;
        std::size_t target_;
        std::uint32_t stall_count_; ///< Including this check; at the end, all of the request.
        bool failed_;
        bool trial_;
        bool is_end_;

        bool operator>(const step& other) const
        {
            return at_ > other.at_;
        }
    };

    void advance_to(instant when);
    void switch_state_if_due(model_target& target);
    void arrive();
    bool try_send(std::vector<candidate>& known, bool non_idempotent);
    /// Whether the guard of the target refuses the request, as `guarded_target` does.
    bool refuses(const model_target& target, const target_choice& choice, bool non_idempotent,
                 bool trial) const;
    void send(std::size_t index, bool non_idempotent, bool trial);
    /// Passes the target's weight on to the choice after the delay.
    void spread_news(model_target& target);
    void place(bool non_idempotent);
    void handle(const step& due);
    std::vector<candidate> candidates() const;

    gray_failure_options options_;
    random_source random_;
    instant now_{std::chrono::hours(1)};
    std::vector<model_target> targets_;
    std::priority_queue<step, std::vector<step>, std::greater<>> steps_;
    gray_failure_result result_;
};

} // namespace bamboohoist::testing

#endif
