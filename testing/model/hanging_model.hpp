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

/// One service whose targets hang for some seconds each, one after the other.
struct hanging_options
{
    std::size_t targets_ = 8;
    std::uint32_t slots_ = 7;
    double rate_ = 30.0;            ///< Requests a second.
    double idempotent_share_ = 0.5; ///< The others run once at most.
    double median_ms_ = 500.0;
    double sigma_ = 0.4;       ///< Shape of the log-normal times.
    double hanging_s_ = 6.0;   ///< Mean length of a time in which a target hangs.
    double well_s_ = 14.0;     ///< Mean length between two of them.
    double hang_share_ = 0.75; ///< Requests without an answer while a target hangs.
    double seconds_ = 300.0;
    bool trials_allowed_ = true; ///< Ejected targets are tried by single requests.
    std::uint64_t seed_ = 1;
};

/// What a run showed.
struct hanging_result
{
    std::uint64_t requests_ = 0;
    std::uint64_t hung_ = 0;      ///< First attempts without an answer.
    std::uint64_t hung_once_ = 0; ///< Of requests that run once at most.
    double well_out_s_ = 0.0;     ///< Seconds in which a target was ejected though it was well.
};

/// Replays such a load against the product's choice and verdicts under an injected clock.
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
        instant turns_at_; ///< When it begins or ends to hang.
        instant offered_;  ///< Of the last request of a trial.
    };

    /// A check or the end of a request at a target.
    struct step
    {
        instant at_;
        std::size_t target_;
        std::uint32_t stalls_; ///< So far.
        bool hung_;
        bool trial_;
        bool ends_;

        bool operator>(const step& other) const
        {
            return at_ > other.at_;
        }
    };

    void move_to(instant when);
    void turn(model_target& target);
    void arrive();
    bool place(std::vector<candidate>& known, bool once);
    void send(std::size_t index, bool once, bool trial);
    void take(const step& due);
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
