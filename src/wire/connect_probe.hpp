#ifndef BAMBOOHOIST_WIRE_CONNECT_PROBE_HPP
#define BAMBOOHOIST_WIRE_CONNECT_PROBE_HPP

#include "loop/event_loop.hpp"
#include "wire/endpoint.hpp"

#include <functional>

namespace bamboohoist {

/// The result of a connection attempt to a server.
enum class probe_result
{
    accepted,    ///< The connection was established and stayed open.
    refused,     ///< Nothing listens: the process has ended.
    closed,      ///< Closed at once, by a process that ends or has too many connections.
    no_response, ///< The connection was not established in time, or failed otherwise.
};

/// Opens a connection, reports the result and closes the connection without sending a byte.
void probe_connection(event_loop& loop, const endpoint& remote, duration timeout,
                      std::function<void(probe_result)> on_result);

} // namespace bamboohoist

#endif
