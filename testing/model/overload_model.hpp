#ifndef BAMBOOHOIST_TESTING_OVERLOAD_MODEL_HPP
#define BAMBOOHOIST_TESTING_OVERLOAD_MODEL_HPP

#include "core/random_source.hpp"
#include "policy/admission_controller.hpp"

#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace bamboohoist::testing {

/// A kind of request: the requests of one route.
struct model_kind
{
    std::string name_;
    std::uint32_t priority_ = 0;
    double part_ = 1.0; ///< Of the requests, except for bursts.
    double median_ms_ = 100.0;
    double timeout_ms_ = 2000.0;
    double worth_ = 1.0; ///< Of a response, for the offline bound.
};

/// An organisation that sends requests of all kinds.
struct model_organisation
{
    std::string name_;
    std::optional<std::uint32_t> priority_ = {};
    double factor_ = 1.0; ///< Its load as a multiple of what is usual.
};

/// Parameters of an overloaded service.
struct overload_options
{
    std::size_t targets_ = 3;
    std::uint32_t slots_ = 5;
    std::uint32_t queue_limit_ = 24;
    std::uint32_t max_attempts_ = 3; ///< Targets that one request is offered to.
    double sigma_ = 0.4;             ///< Shape of the log-normal run times.
    double load_ = 1.0;              ///< Requests without bursts, as a part of the capacity.
    double seconds_ = 60.0;
    std::size_t bursting_kind_ = 0; ///< Sends twice its usual load for 2 s of every 8 s.
    std::vector<model_kind> kinds_;
    std::vector<model_organisation> organisations_;
    bool ranked_ = true; ///< False: all ranks are equal, as before there were ranks.
    std::uint64_t seed_ = 1;
};

/// Requests sent, and those that got a response before their deadline.
struct served_part
{
    std::uint64_t sent_ = 0;
    std::uint64_t granted_ = 0; ///< Slots, also of requests that did not finish in time.
    std::uint64_t served_ = 0;

    double fraction() const;
};

/// The result of a run.
struct overload_result
{
    std::map<request_rank, served_part> ranks_; ///< By the declared rank, also if not `ranked_`.
    std::vector<served_part> kinds_;
    std::vector<std::map<request_rank, served_part>> organisations_;
    std::uint64_t displaced_by_rank_ = 0;
    double worth_sent_ = 0.0;
    double worth_served_ = 0.0;
    /// Upper limit of the worth that a scheduler could serve that knows all arrivals and run times.
    /// Relaxation: requests may be divided and deadlines are ignored, so it is what the slot-time
    /// of the run holds when it is filled by worth per slot-time.
    double worth_bound_ = 0.0;

    /// Slots that the rank got, over a quarter of the mean share of the ranks; at least 1 where the
    /// promise is kept.
    double part_of_floor(const request_rank& rank) const;
};

/// Simulates one service under overload: the product's `admission_controller` in front of each
/// target, and requests that go on to another target after a refusal.
class overload_model
{
public:
    explicit overload_model(const overload_options& options);

    overload_result run();

private:
    struct request
    {
        std::size_t kind_;
        std::size_t organisation_;
        request_rank rank_;
        instant deadline_;
        duration run_time_;
        std::vector<std::size_t> tried_;
    };

    enum class step_kind
    {
        completion,
        expiry,
    };

    struct step
    {
        instant at_;
        step_kind kind_;
        std::size_t target_;
        std::uint64_t ticket_;

        bool operator>(const step& other) const
        {
            return at_ > other.at_;
        }
    };

    double rate_of(std::size_t kind) const;
    double total_rate() const;
    void arrive();
    std::size_t draw_kind();
    std::size_t draw_organisation();
    std::optional<std::size_t> choose_target(const request& placed);
    /// Offers a request to one target after the other until one takes it.
    void place(std::uint64_t ticket);
    void start(std::size_t target, std::uint64_t ticket);
    void process(const step& due);
    void refuse_expired(std::size_t target);
    void schedule_expiry(std::size_t target);
    double worth_bound() const;

    overload_options options_;
    random_source random_;
    instant now_{std::chrono::hours(1)};
    instant begin_ = now_;
    double base_rate_ = 0.0; ///< Requests a second of all kinds, without bursts.
    std::vector<admission_controller> targets_;
    std::vector<instant> expiries_; ///< The next scheduled expiry of each target.
    std::vector<request> requests_; ///< The ticket is the index.
    std::priority_queue<step, std::vector<step>, std::greater<>> steps_;
    overload_result result_;
};

} // namespace bamboohoist::testing

#endif
