#include "http/exchange_memory.hpp"

#include "policy/shedding.hpp"

#include <algorithm>
#include <bit>
#include <microhttpd.h>
#include <sys/socket.h>

namespace bamboohoist {

namespace {

/// How long a request must have been arriving before `relieve()` gives it up.
constexpr duration relief_age = std::chrono::seconds(1);
/// The largest body that callers may send.
constexpr std::size_t relief_bytes = 1U << 20U;

/// The capacity for a body of `needed` bytes so far: the announced length when that is small, and
/// powers of two after that, so that an announcement without bytes costs nothing.
std::size_t next_capacity(std::size_t needed, const std::optional<std::size_t>& announced)
{
    if (announced && *announced >= needed && *announced <= memory_account::small_body_bytes)
    {
        return *announced;
    }
    return std::bit_ceil(needed);
}

} // namespace

exchange_memory::exchange_memory(exchange_list& exchanges, memory_account& account,
                                 process_metrics& metrics, const clock_source& clock,
                                 refusal_listener on_refused)
    : exchanges_(exchanges), account_(account), metrics_(metrics), clock_(clock),
      on_refused_(std::move(on_refused))
{
}

void exchange_memory::append(exchange& item, std::string_view data)
{
    if (item.shed_)
    {
        return;
    }
    std::string& body = item.request_.body_;
    const std::size_t needed = body.size() + data.size();
    if (needed > body.capacity())
    {
        const std::size_t capacity =
            std::max(next_capacity(needed, item.announced_bytes_), 2 * body.capacity());
        if (!make_room(item, capacity))
        {
            shed(item);
            return;
        }
        body.reserve(capacity);
        item.charge_.resize(body.capacity());
    }
    body.append(data);
}

void exchange_memory::drop_body(exchange& item)
{
    item.request_.body_ = std::string();
    item.charge_.resize(0);
}

void exchange_memory::hand_on(exchange& item)
{
    item.dispatched_ = true;
    item.charge_.set_use(memory_use::transit);
}

void exchange_memory::send(exchange& item)
{
    drop_body(item);
    item.sending_ = true;
    item.charge_.set_use(memory_use::response);
    const instant now = clock_.now();
    const auto held = [now](const exchange& other) {
        return held_body{other.charge_.bytes(), 0, now - other.transfer_started_};
    };
    const std::size_t capacity = item.response_.body_.capacity();
    while (!item.charge_.try_resize(capacity))
    {
        exchange* worst = &item;
        held_body worst_body{capacity, 0, duration::zero()};
        for (exchange& other : exchanges_)
        {
            const bool unread = &other != &item && other.sending_ && other.charge_.bytes() > 0;
            if (unread && is_shed_before(held(other), worst_body))
            {
                worst = &other;
                worst_body = held(other);
            }
        }
        if (worst == &item && capacity <= memory_account::small_body_bytes)
        {
            item.charge_.resize(capacity); // Closing smaller ones would free next to nothing.
            return;
        }
        close(*worst);
        metrics_.add(counter::memory_responses_closed);
        if (worst == &item)
        {
            item.charge_.resize(capacity); // Until the library finds the connection closed.
            return;
        }
        // The library frees the body when it finds the connection closed, in the same event.
        worst->charge_.resize(0);
    }
}

bool exchange_memory::make_room(exchange& item, std::size_t capacity)
{
    const instant now = clock_.now();
    const auto held = [now](const exchange& other, std::size_t bytes) {
        return held_body{bytes, other.body_bytes_, now - other.transfer_started_};
    };
    while (!item.charge_.try_resize(capacity))
    {
        exchange* worst = &item;
        held_body worst_body = held(item, capacity);
        for (exchange& other : exchanges_)
        {
            const held_body body = held(other, other.charge_.bytes());
            const bool unfinished =
                &other != &item && !other.dispatched_ && !other.sending_ && body.held_bytes_ > 0;
            if (unfinished && is_shed_before(body, worst_body))
            {
                worst = &other;
                worst_body = body;
            }
        }
        if (worst == &item)
        {
            return false;
        }
        shed(*worst);
    }
    return true;
}

void exchange_memory::shed(exchange& item)
{
    drop_body(item);
    item.shed_ = true;
    item.shed_at_ = clock_.now();
    metrics_.add(counter::memory_refused);
    if (on_refused_)
    {
        on_refused_(item.request_, item.body_bytes_);
    }
}

void exchange_memory::relieve()
{
    if (account_.has_room(memory_use::upload, relief_bytes))
    {
        return;
    }
    const instant now = clock_.now();
    exchange* worst = nullptr;
    held_body worst_body;
    for (exchange& other : exchanges_)
    {
        const held_body body{other.charge_.bytes(), other.body_bytes_,
                             now - other.transfer_started_};
        const bool unfinished = !other.dispatched_ && !other.sending_ && body.held_bytes_ > 0;
        if (unfinished && body.age_ > relief_age &&
            (worst == nullptr || is_shed_before(body, worst_body)))
        {
            worst = &other;
            worst_body = body;
        }
    }
    if (worst != nullptr)
    {
        shed(*worst);
    }
}

void exchange_memory::close(const exchange& item)
{
    const auto* info =
        ::MHD_get_connection_info(item.connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    ::shutdown(info->connect_fd, SHUT_RDWR);
}

} // namespace bamboohoist
