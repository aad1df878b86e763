#ifndef BAMBOOHOIST_TESTING_SERVICE_MODEL_HPP
#define BAMBOOHOIST_TESTING_SERVICE_MODEL_HPP

#include "core/random_source.hpp"
#include "policy/baseline_estimator.hpp"
#include "policy/target_choice.hpp"

#include <cstdint>
#include <queue>
#include <string>
#include <vector>

namespace bamboohoist::testing {

/// How the model ejects targets.
enum class ejection_policy
{
    none,
    five_errors, ///< Five consecutive errors eject for 30 s.
    evidence,    ///< The product's sequential test.
};

/// A kind of failure of one target, or of all.
enum class failure_kind
{
    none,
    stall,
    slow_3x,
    slow_10x,
    errors_30_percent,
    fast_errors,
    flapping, ///< Stalls and works for one second each.
    all_slow_5x,
};

std::string_view to_string(failure_kind kind);

/// Parameters of a service, its load and its failure.
struct model_options
{
    std::size_t targets_ = 8;
    std::uint32_t slots_ = 7;
    double rate_ = 200.0; ///< Requests per second.
    double median_ms_ = 20.0;
    double sigma_ = 0.6;             ///< Shape of the log-normal latencies.
    double tail_fraction_ = 0.01;    ///< Fraction of requests that take ten times as long.
    double pause_interval_s_ = 60.0; ///< Mean time between two pauses of a target.
    double pause_ms_ = 150.0;        ///< Length of a pause, which delays all its requests.
    double error_fraction_ = 0.002;  ///< Fraction of errors of healthy targets.
    double seconds_ = 60.0;
    double onset_s_ = 20.0; ///< Start of the failure.
    double floor_ = 0.5;
    health_goal health_goal_ = health_goal::detection_time;
    ejection_policy policy_ = ejection_policy::evidence;
    failure_kind failure_ = failure_kind::none;
    std::uint64_t seed_ = 1;
};

/// The result of a run.
struct model_result
{
    double detection_s_ = -1.0;         ///< From the onset to the first ejection; -1 if none.
    std::uint64_t false_ejections_ = 0; ///< Ejections of healthy targets.
    std::uint64_t floor_broken_ = 0;    ///< Choices with less capacity in use than the floor.
    std::uint64_t requests_ = 0;
    std::uint64_t sent_to_failing_ = 0; ///< Requests sent to a failing target.
    std::uint64_t harmed_ = 0;          ///< Requests that failed or took more than one second.
    double target_hours_ = 0.0;
};

/// Simulates a service under an injected clock, with the product's choice of targets and health
/// decisions, and simulated targets instead of processes.
class service_model
{
public:
    explicit service_model(const model_options& options);

    model_result run();

private:
    struct model_target
    {
        std::uint32_t running_ = 0;
        double latency_ms_ = 20.0;
        target_health health_{health_goal::detection_time};
        std::uint32_t consecutive_errors_ = 0;
        instant ejected_until_; ///< For the policy `five_errors`.
        instant pause_begin_;
        instant pause_end_;
    };

    enum class step_kind
    {
        completion,
        stall_check,
    };

    /// The completion of a request or a check whether it has stalled.
    struct step
    {
        instant at_;
        std::size_t target_;
        step_kind kind_;
        double latency_ms_;
        bool error_;
        std::uint32_t stall_count_;

        bool operator>(const step& other) const
        {
            return at_ > other.at_;
        }
    };

    void arrive();
    void send(std::size_t index);
    void complete(const step& done);
    void check_stall(const step& check);
    void observe(std::size_t index, observation seen);
    void record_ejection(std::size_t index);
    bool is_failing(std::size_t index) const;
    double draw_latency_ms(std::size_t index, bool& error, bool& hangs);
    void schedule_pause(model_target& target);
    std::vector<candidate> candidates();

    model_options options_;
    random_source random_;
    instant now_{};
    instant onset_;
    std::vector<model_target> targets_;
    baseline_estimator baseline_estimator_;
    std::priority_queue<step, std::vector<step>, std::greater<>> steps_;
    model_result result_;
};

} // namespace bamboohoist::testing

#endif
