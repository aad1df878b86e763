#ifndef BAMBOOHOIST_DAEMON_READY_API_HPP
#define BAMBOOHOIST_DAEMON_READY_API_HPP

#include "daemon/control_context.hpp"
#include "http/http_server.hpp"

namespace bamboohoist {

/// Reports whether this node should get new callers: every request gets status 200 while the node
/// has a configuration and is not leaving, and 503 otherwise.
class ready_api : public child
{
public:
    explicit ready_api(const control_context& context);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    std::uint16_t port() const;

    /// To be called when a configuration is in force.
    void set_ready();

    /// To be called when the node leaves; it does not become ready again.
    void leave();

private:
    void set_state(bool ready, std::string_view why);
    void on_request(const exchange_ptr& item) const;

    const control_context& context_;
    http_server server_;
    bool ready_ = false;
    bool leaving_ = false;
    std::string why_ = "this node has no configuration yet";
};

} // namespace bamboohoist

#endif
