#ifndef BAMBOOHOIST_POLICY_RETRY_POLICY_HPP
#define BAMBOOHOIST_POLICY_RETRY_POLICY_HPP

#include "core/clock.hpp"
#include "core/error.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboohoist {

/// What is known when an attempt has failed.
struct failed_attempt
{
    outcome outcome_ = outcome::unknown;
    error_kind error_ = error_kind::internal;
    bool idempotent_ = false;
    std::uint32_t attempts_ = 1;            ///< Including the failed one.
    std::uint32_t crashes_ = 0;             ///< Attempts that ended with the crash of their target.
    std::uint32_t targets_reached_ = 0;     ///< Targets that the request was sent to.
    std::uint32_t max_targets_reached_ = 4; ///< Targets that it may be sent to.
    duration time_left_{};
};

/// What to do after a failed attempt.
enum class retry_decision
{
    give_up, ///< Return the error to the caller.
    retry,   ///< Try another target if the budgets allow it.
};

/// Decides whether to retry. A request is retried only when it certainly did not run or is
/// idempotent, and only for errors that another target may avoid.
retry_decision decide_retry(const failed_attempt& failed);

/// How long a caller should wait before it repeats a refused request; empty when a repetition would
/// not help. `typical_latency` is that of the request's route, if it is known.
std::optional<duration> retry_after(error_kind kind, outcome result,
                                    std::optional<duration> typical_latency);

/// Counts first attempts and retries in a sliding window of ten steps of one second.
class retry_window
{
public:
    static constexpr std::size_t step_count = 10;
    static constexpr duration length = std::chrono::seconds(step_count);

    void add_first_attempt(instant now);
    void add_retry(instant now);

    /// The retries still allowed: `fraction` of the first attempts in the window, plus `burst`,
    /// less the retries in the window.
    double remaining_retries(double fraction, double burst, instant now);

private:
    /// Drops the steps that have left the window and returns the index of the current one.
    std::size_t advance_to(instant now);

    struct step
    {
        std::uint32_t first_attempts_ = 0;
        std::uint32_t retries_ = 0;
    };

    std::array<step, step_count> steps_{};
    std::int64_t newest_second_ = 0;
};

/// Limits the retries in any ten seconds to a fraction of the first attempts in that time plus a
/// burst, per service and per organisation. This prevents retry storms: when targets fail one after
/// the other under constant load, every failure would cause another attempt. When the nodes divide
/// a burst among themselves, the limit applies to the fleet. Memory is bounded: organisations share
/// a fixed number of windows, chosen by hash.
class retry_budget
{
public:
    /// Sets how many retries a service may send in addition to the fraction.
    void set_burst(double retries);

    /// Grants no burst until the window is over that began when this process started: its
    /// predecessor, of which it knows nothing, may have used it up.
    void withhold_burst(instant started);

    /// Records the first attempt of a request.
    void record_first_attempt(std::string_view service, std::string_view organisation, instant now);

    /// Whether `try_spend()` would succeed.
    bool has_retry(std::string_view service, std::string_view organisation, double fraction,
                   instant now);

    /// Takes one retry from the budgets of both the service and the organisation. False when either
    /// is exhausted.
    bool try_spend(std::string_view service, std::string_view organisation, double fraction,
                   instant now);

private:
    static constexpr std::size_t organisation_window_count = 1024;
    /// Lets services and organisations with few requests retry at all.
    static constexpr double default_burst = 10.0;

    retry_window& window_of_organisation(std::string_view organisation);

    double burst_at(instant now) const;

    double burst_ = default_burst;
    instant burst_from_;                                       ///< There is no burst before.
    std::unordered_map<std::uint64_t, retry_window> services_; ///< By hash; declared services only.
    std::vector<retry_window> organisations_ = std::vector<retry_window>(organisation_window_count);
};

} // namespace bamboohoist

#endif
