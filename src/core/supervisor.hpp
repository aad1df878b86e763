#ifndef BAMBOOHOIST_CORE_SUPERVISOR_HPP
#define BAMBOOHOIST_CORE_SUPERVISOR_HPP

#include "core/clock.hpp"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// A node of the supervisor tree. It can be started and stopped repeatedly.
class child
{
public:
    virtual ~child() = default;

    virtual std::string_view name() const = 0;

    /// Starts or restarts the child. On failure, returns false and sets `last_reason()`.
    virtual bool start() = 0;

    /// Stops the child. Does nothing when it is already stopped.
    virtual void stop() = 0;
};

/// Determines which children are restarted when one fails.
enum class restart_strategy
{
    one_for_one,  ///< Only the failed child.
    rest_for_one, ///< The failed child and all children started after it.
    one_for_all,  ///< All children.
};

/// The maximum number of restarts within a period. Further failures are escalated to the parent.
struct restart_intensity
{
    std::size_t restarts_ = 5;
    duration period_ = std::chrono::seconds(10);
};

/// Starts its children in order, stops them in reverse order and restarts them when they fail.
/// A supervisor is itself a child and is used on one thread only.
class supervisor : public child
{
public:
    supervisor(std::string name, restart_strategy strategy, restart_intensity intensity,
               const clock_source& clock);

    /// Adds a child, which must outlive the supervisor. Only call this before `start()`.
    void add(child& member);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Called when a child has failed; restarts children according to the strategy. Returns false
    /// when `failed` is not a child of this supervisor, when the restart intensity is exceeded,
    /// which stops all children, or when a restart failed. The parent then handles the failure.
    bool handle_child_failure(child& failed);

    /// Returns the number of restarts since the supervisor was created.
    std::size_t restart_count() const;

private:
    using strategy_function = bool (supervisor::*)(std::size_t);

    bool restart_one(std::size_t index);
    bool restart_rest(std::size_t index);
    bool restart_all(std::size_t index);
    bool restart_from(std::size_t first);
    bool start_from(std::size_t first);
    void stop_from(std::size_t first);
    /// Records a restart. Returns false when the restart intensity is exceeded.
    bool try_record_restart();

    static const strategy_function strategies[]; ///< Indexed by `restart_strategy`.

    std::string name_;
    restart_strategy strategy_;
    restart_intensity intensity_;
    const clock_source& clock_;
    std::vector<child*> children_;
    std::deque<instant> recent_restarts_;
    std::size_t restart_count_ = 0;
};

} // namespace bamboohoist

#endif
