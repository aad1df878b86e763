#ifndef BAMBOOHOIST_CORE_SUPERVISOR_HPP
#define BAMBOOHOIST_CORE_SUPERVISOR_HPP

#include "core/clock.hpp"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// A node of the supervisor tree: something that can be started and stopped more than once.
class child
{
public:
    virtual ~child() = default;

    virtual std::string_view name() const = 0;

    /// Starts or restarts the child. On false the last reason says why.
    virtual bool start() = 0;

    /// Stops the child. Stopping a stopped child does nothing.
    virtual void stop() = 0;
};

/// Which children are restarted when one fails.
enum class restart_strategy
{
    one_for_one,  ///< Only the failed child.
    rest_for_one, ///< The failed child and all that were started after it.
    one_for_all,  ///< All children.
};

/// How many restarts are tolerated in a period before the failure goes to the parent.
struct restart_intensity
{
    std::size_t restarts_ = 5;
    duration period_ = std::chrono::seconds(10);
};

/// Starts its children in order, stops them in reverse order and restarts them when they fail.
/// A supervisor is a child itself; it belongs to one thread.
class supervisor : public child
{
public:
    supervisor(std::string name, restart_strategy strategy, restart_intensity intensity,
               const clock_source& clock);

    /// Adds a child, which must outlive the supervisor. Before `start()` only.
    void add(child& member);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Called when a child has failed. False when the intensity is used up or a restart failed:
    /// the children are then stopped and the parent has to decide.
    bool handle_child_failure(child& failed);

    /// Number of restarts since the supervisor was made.
    std::size_t restart_count() const;

private:
    using strategy_function = bool (supervisor::*)(std::size_t);

    bool restart_one(std::size_t index);
    bool restart_rest(std::size_t index);
    bool restart_all(std::size_t index);
    bool restart_from(std::size_t first);
    bool start_from(std::size_t first);
    void stop_down_to(std::size_t first);
    bool within_intensity();

    static const strategy_function strategies[];

    std::string name_;
    restart_strategy strategy_;
    restart_intensity intensity_;
    const clock_source& clock_;
    std::vector<child*> children_;
    std::deque<instant> recent_;
    std::size_t restarts_ = 0;
};

} // namespace bamboohoist

#endif
