#ifndef BAMBOOHOIST_HTTP_EXCHANGE_MEMORY_HPP
#define BAMBOOHOIST_HTTP_EXCHANGE_MEMORY_HPP

#include "core/clock.hpp"
#include "core/process_metrics.hpp"
#include "http/exchange.hpp"

#include <functional>
#include <string_view>

namespace bamboohoist {

/// Holds the bodies of a server's exchanges within the memory account, and gives up those for which
/// there is no room. A request that is given up was not run.
class exchange_memory
{
public:
    using refusal_listener = std::function<void(const request_message&, std::size_t body_bytes)>;

    exchange_memory(exchange_list& exchanges, memory_account& account, process_metrics& metrics,
                    const clock_source& clock, refusal_listener on_refused);

    /// Adds received bytes to the body of a request, unless the body was given up. Requests that
    /// are to be shed before this one make room for it.
    void append(exchange& item, std::string_view data);

    /// Releases the body of a request that will not be handed on.
    static void drop_body(exchange& item);

    /// The request is complete: it can no longer be shed.
    static void hand_on(exchange& item);

    /// The response is sent from now on. When unread responses fill up their part of the memory,
    /// the connections of those that are to be shed first are closed.
    void send(exchange& item);

    /// Gives up one request that has been arriving for a while when no further large body would
    /// fit, so that stalled uploads of one thread do not stop those of another.
    void relieve();

    /// Closes the connection of an exchange.
    static void close(const exchange& item);

private:
    bool make_room(exchange& item, std::size_t capacity);
    void shed(exchange& item);

    exchange_list& exchanges_;
    memory_account& account_;
    process_metrics& metrics_;
    const clock_source& clock_;
    refusal_listener on_refused_;
};

} // namespace bamboohoist

#endif
