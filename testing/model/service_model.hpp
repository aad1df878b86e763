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
    five_errors, ///< Five errors in a row eject for 30 s.
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
    flapping, ///< Stalls for a second, works for a second.
    all_slow_5x,
};

std::string_view to_string(failure_kind kind);

/// One service under one kind of load and failure.
struct model_options
{
    std::size_t targets_ = 8;
    std::uint32_t slots_ = 7;
    double rate_ = 200.0; ///< Requests a second.
    double median_ms_ = 20.0;
    double sigma_ = 0.6;          ///< Shape of the log-normal times.
    double tail_share_ = 0.01;    ///< Requests that take ten times as long.
    double pause_every_s_ = 60.0; ///< A target pauses as a whole, at random.
    double pause_ms_ = 150.0;
    double error_share_ = 0.002; ///< Errors of healthy targets.
    double seconds_ = 60.0;
    double onset_s_ = 20.0;
    double floor_ = 0.5;
    health_goal health_goal_ = health_goal::detection_time;
    ejection_policy policy_ = ejection_policy::evidence;
    failure_kind failure_ = failure_kind::none;
    std::uint64_t seed_ = 1;
};

/// What a run of the model showed.
struct model_result
{
    double detection_s_ = -1.0;         ///< From the onset to the first ejection; -1 for never.
    std::uint64_t false_ejections_ = 0; ///< Of targets that were well.
    std::uint64_t floor_broken_ = 0;    ///< Choices with less capacity in use than the floor.
    std::uint64_t requests_ = 0;
    std::uint64_t sent_to_ill_ = 0; ///< After the onset.
    std::uint64_t harmed_ = 0;      ///< Requests that failed or took over a second.
    double target_hours_ = 0.0;
};

/// A small model of one service under an injected clock: the product's choice and verdicts, with
/// simulated targets in the place of processes.
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
        std::uint32_t errors_in_row_ = 0;
        instant out_until_; ///< Of the policy `five_errors`.
        instant pause_begin_;
        instant pause_end_;
    };

    enum class step_kind
    {
        completion,
        stall_check,
    };

    /// Something that happens to a request.
    struct step
    {
        instant at_;
        std::size_t target_;
        step_kind kind_;
        double latency_ms_;
        bool error_;
        std::uint32_t stalls_;

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
    void note_ejection(std::size_t index);
    bool ill(std::size_t index) const;
    double draw_latency_ms(std::size_t index, bool& error, bool& endless);
    void move_pause(model_target& target);
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
