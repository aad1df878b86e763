#ifndef BAMBOOHOIST_DAEMON_PEER_CALLS_HPP
#define BAMBOOHOIST_DAEMON_PEER_CALLS_HPP

#include "daemon/control_link.hpp"
#include "daemon/membership.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Called with the reply of one node; the reply is empty when it did not come in time.
using peer_reply_callback =
    std::function<void(std::string_view node, const std::optional<std::string>&)>;

/// Calls the control thread of every peer that is alive or suspect. `on_reply` runs once for each,
/// and `on_end` once after the last reply, or at once when there are no peers.
void call_all_peers(control_link& link, const membership& members, std::string_view path,
                    std::string_view body, peer_reply_callback on_reply,
                    std::function<void()> on_end);

} // namespace bamboohoist

#endif
