#ifndef BAMBOOHOIST_WIRE_CONNECT_PROBE_HPP
#define BAMBOOHOIST_WIRE_CONNECT_PROBE_HPP

#include "loop/event_loop.hpp"
#include "wire/endpoint.hpp"

#include <functional>

namespace bamboohoist {

/// What a connection attempt shows about a server.
enum class probe_result
{
    accepted,    ///< The connection stands and stays.
    refused,     ///< Nobody listens, or the connection is closed at once: the process is gone.
    no_response, ///< No answer in time.
};

/// Opens a connection, reports how that went and closes it without sending a byte.
void probe_connection(event_loop& loop, const endpoint& remote, duration timeout,
                      std::function<void(probe_result)> on_result);

} // namespace bamboohoist

#endif
