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

/// Calls between the control threads of nodes: a path and a body each way, over nghttp2 streams.
class control_link : public child
{
public:
    /// Answers a call; an empty optional refuses it.
    using responder = std::function<std::optional<std::string>(std::string_view body)>;
    using callback = std::function<void(std::optional<std::string> body)>;

    explicit control_link(const control_context& context);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Registers the responder of one path. Before `start()`.
    void add_responder(std::string_view path, responder respond);

    /// Calls another node; the callback gets an empty optional when there is no answer in time.
    void call(const endpoint& remote, std::string_view path, std::string body, callback on_reply);

    std::uint16_t port() const;

private:
    struct open_link
    {
        std::unique_ptr<peer_link> link_;
        instant used_;
    };

    void on_call(const stream_call_ptr& call);
    void prune();

    const control_context& context_;
    stream_server server_;
    std::map<std::string, responder, std::less<>> responders_;
    std::map<endpoint, open_link> links_;
    timer prune_timer_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
