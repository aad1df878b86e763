#ifndef BAMBOOHOIST_DAEMON_ANNOUNCE_API_HPP
#define BAMBOOHOIST_DAEMON_ANNOUNCE_API_HPP

#include "daemon/target_registry.hpp"
#include "http/http_server.hpp"

namespace bamboohoist {

/// HTTP server at which the backend servers of this VM announce themselves, in the format of the
/// deployment.
class announce_api : public child
{
public:
    announce_api(const control_context& context, target_registry& targets);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    std::uint16_t port() const;

private:
    void on_request(const exchange_ptr& item);
    response_message handle(const request_message& request);

    const control_context& context_;
    target_registry& targets_;
    http_server server_;
};

} // namespace bamboohoist

#endif
