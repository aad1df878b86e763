#ifndef BAMBOOHOIST_DAEMON_CONTROL_LINK_HPP
#define BAMBOOHOIST_DAEMON_CONTROL_LINK_HPP

#include "daemon/control_context.hpp"
#include "wire/peer_link.hpp"
#include "wire/stream_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Makes and serves calls between the control threads of nodes over nghttp2 streams. A call has a
/// path and a body, its reply a body.
class control_link : public child
{
public:
    /// Returns the reply to a call, or an empty optional to refuse it.
    using responder = std::function<std::optional<std::string>(std::string_view body)>;
    using callback = std::function<void(std::optional<std::string> body)>;
    /// Passes the reply to a call to `reply`, now or later.
    using late_responder = std::function<void(std::string_view body, callback reply)>;

    explicit control_link(const control_context& context);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Registers the responder of one path. To be called before `start()`.
    void add_responder(std::string_view path, responder respond);
    void add_late_responder(std::string_view path, late_responder respond);

    /// Calls another node. The callback runs once, with an empty optional when the node refuses
    /// the call or does not reply in time.
    void call(const endpoint& remote, std::string_view path, std::string body, callback on_reply);

    std::uint16_t port() const;

private:
    /// A connection that is kept for further calls until it has been idle for some time.
    struct cached_link
    {
        std::unique_ptr<peer_link> link_;
        instant last_used_;
    };

    void on_call(const stream_call_ptr& call);
    void close_idle_links();

    const control_context& context_;
    stream_server server_;
    std::map<std::string, late_responder, std::less<>> responders_;
    std::map<endpoint, cached_link> links_;
    timer idle_timer_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
