#ifndef BAMBOOHOIST_POLICY_RETRY_POLICY_HPP
#define BAMBOOHOIST_POLICY_RETRY_POLICY_HPP

#include "core/clock.hpp"
#include "core/error.hpp"

#include <array>
#include <cstdint>
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
    std::uint32_t attempts_ = 1;    ///< Including the failed one.
    std::uint32_t crashes_ = 0;     ///< Attempts that ended with the crash of their target.
    std::uint32_t reached_ = 0;     ///< Targets that the request was sent to.
    std::uint32_t max_reached_ = 4; ///< As many as it may be sent to.
    duration time_left_{};
};

/// What to do after a failed attempt.
enum class retry_decision
{
    give_up, ///< Tell the caller.
    retry,   ///< Try another target, if the budgets allow.
};

/// Decides by outcome: only what certainly did not run, or may run again, is tried again.
retry_decision decide_retry(const failed_attempt& failed);

/// First attempts and retries of the last seconds, in steps of one second.
class retry_window
{
public:
    void add_first(instant now);
    void add_retry(instant now);

    /// Retries that `share` of the first attempts in the window and `burst` leave room for.
    double room(double share, double burst, instant now);

private:
    static constexpr std::size_t steps = 10;

    /// Forgets the steps that the window has left behind.
    std::size_t move_to(instant now);

    struct step
    {
        std::uint32_t first_ = 0;
        std::uint32_t retries_ = 0;
    };

    std::array<step, steps> steps_{};
    std::int64_t newest_s_ = 0;
};

/// Bounds retries in any ten seconds to a share of the first attempts in them and a burst, per
/// service and per organisation. The load pattern that it answers: targets that fail one after
/// the other while callers press on, when every failure asks for another attempt. Nodes that
/// divide a burst among themselves keep it together. Memory is bounded: organisations share a
/// fixed number of windows by hash.
class retry_budget
{
public:
    /// Sets how many retries a service may have beyond its share.
    void set_burst(double retries);

    /// A first attempt of a service and organisation.
    void record_first_attempt(std::string_view service, std::string_view organisation, instant now);

    /// Takes one retry from both windows. False when there is no room in either.
    bool try_spend(std::string_view service, std::string_view organisation, double share,
                   instant now);

private:
    static constexpr std::size_t organisation_windows = 1024;
    /// So that rare requests can be retried.
    static constexpr double default_burst = 10.0;

    double burst_ = default_burst;
    std::unordered_map<std::uint64_t, retry_window> services_; ///< As many as are declared.
    std::vector<retry_window> organisations_ = std::vector<retry_window>(organisation_windows);
};

} // namespace bamboohoist

#endif
