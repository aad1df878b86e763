#ifndef BAMBOOHOIST_DAEMON_ANNOUNCE_API_HPP
#define BAMBOOHOIST_DAEMON_ANNOUNCE_API_HPP

#include "daemon/recovery.hpp"
#include "daemon/target_registry.hpp"
#include "http/http_server.hpp"

#include <vector>

namespace bamboohoist {

/// HTTP server at which the backend servers of this VM announce themselves, in the format of the
/// deployment. Until the node knows what was known before its start, announcements are held. That a
/// backend server leaves or has ended is confirmed once this is sure to outlive the process.
class announce_api : public child
{
public:
    announce_api(const control_context& context, target_registry& targets, recovery& recovered);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    std::uint16_t port() const;

    /// The node knows what was known before its start: processes the announcements held so far.
    void on_recovered();

private:
    struct held_announcement
    {
        exchange_ptr item_;
        announcement announced_;
    };

    void on_request(const exchange_ptr& item);
    void hold(const exchange_ptr& item, announcement announced);
    void process(const exchange_ptr& item, const announcement& announced);
    /// Replies to a target that leaves: only a leaving that is noted is confirmed.
    void confirm_departure(const exchange_ptr& item, const announcement& announced, bool saved);
    void confirm(const exchange_ptr& item, const announcement& announced);

    const control_context& context_;
    target_registry& targets_;
    recovery& recovery_;
    std::vector<held_announcement> held_;
    http_server server_;
};

} // namespace bamboohoist

#endif
