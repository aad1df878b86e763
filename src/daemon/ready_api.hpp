#ifndef BAMBOOHOIST_DAEMON_READY_API_HPP
#define BAMBOOHOIST_DAEMON_READY_API_HPP

#include "daemon/control_context.hpp"
#include "http/http_server.hpp"

namespace bamboohoist {

/// Says whether this node should be given new callers: any request is answered 200 while it has a
/// configuration and is not leaving, and 503 otherwise.
class ready_api : public child
{
public:
    explicit ready_api(const control_context& context);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    std::uint16_t port() const;

    /// A configuration is in force.
    void set_ready();

    /// The node leaves and is never ready again.
    void leave();

private:
    void change(bool ready, std::string_view why);
    void on_request(const exchange_ptr& item) const;

    const control_context& context_;
    http_server front_;
    bool ready_ = false;
    bool leaving_ = false;
    std::string why_ = "no configuration is known yet";
};

} // namespace bamboohoist

#endif
