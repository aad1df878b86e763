#ifndef BAMBOOHOIST_TESTING_HANGING_MODEL_HPP
#define BAMBOOHOIST_TESTING_HANGING_MODEL_HPP

#include "core/random_source.hpp"
#include "policy/target_choice.hpp"
#include "policy/target_health.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace bamboohoist::testing {

/// Parameters of a service whose targets hang for some seconds at random times.
struct hanging_options
{
    std::size_t targets_ = 8;
    std::uint32_t slots_ = 7;
    double rate_ = 30.0;               ///< Requests per second.
    double idempotent_fraction_ = 0.5; ///< The other requests run at most once.
    double median_ms_ = 500.0;
    double sigma_ = 0.4;          ///< Shape of the log-normal latencies.
    double hanging_s_ = 6.0;      ///< Mean time for which a target hangs.
    double healthy_s_ = 14.0;     ///< Mean time between two hangs of a target.
    double hang_fraction_ = 0.75; ///< Fraction of requests that hang while their target hangs.
    double seconds_ = 300.0;
    bool trials_allowed_ = true; ///< Ejected targets get single requests as trials.
    std::uint64_t seed_ = 1;
};

/// The result of a run.
struct hanging_result
{
    std::uint64_t requests_ = 0;
    std::uint64_t hung_ = 0;                ///< Requests whose first attempt hung.
    std::uint64_t hung_non_idempotent_ = 0; ///< Those of requests that run at most once.
    double healthy_ejected_s_ = 0.0;        ///< Total time for which healthy targets were ejected.
};

/// Simulates such a service under an injected clock, with the product's choice of targets and
/// health decisions.
class hanging_model
{
public:
    explicit hanging_model(const hanging_options& options);

    hanging_result run();

private:
    struct model_target
    {
        std::uint32_t running_ = 0;
        target_health health_{health_goal::first_signs};
        bool hangs_ = false;
        instant switches_at_; ///< When it starts or stops hanging.
        instant last_trial_at_;
    };

    /// A stall check or the end of a request at a target.
    struct step
    {
        instant at_;
        std::size_t target_;
        std::uint32_t stall_count_; ///< Including this check.
        bool hung_;
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
    void send(std::size_t index, bool non_idempotent, bool trial);
    void handle(const step& due);
    std::vector<candidate> candidates() const;

    hanging_options options_;
    random_source random_;
    instant now_{std::chrono::hours(1)};
    std::vector<model_target> targets_;
    std::priority_queue<step, std::vector<step>, std::greater<>> steps_;
    hanging_result result_;
};

} // namespace bamboohoist::testing

#endif
