#ifndef BAMBOOHOIST_DAEMON_MEMORY_MONITOR_HPP
#define BAMBOOHOIST_DAEMON_MEMORY_MONITOR_HPP

#include "core/supervisor.hpp"
#include "daemon/control_context.hpp"
#include "loop/timer.hpp"

namespace bamboohoist {

/// Gives memory back to the system after a load, and sets the gauges of the memory account.
class memory_monitor : public child
{
public:
    explicit memory_monitor(const control_context& context);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

private:
    void check();

    const control_context& context_;
    std::size_t settled_bytes_ = 0; ///< Resident after the last trim.
    timer timer_;
};

} // namespace bamboohoist

#endif
