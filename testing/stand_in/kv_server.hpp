#ifndef BAMBOOHOIST_TESTING_KV_SERVER_HPP
#define BAMBOOHOIST_TESTING_KV_SERVER_HPP

#include "http/http_server.hpp"
#include "stand_in/kv_state.hpp"

#include <list>

namespace bamboohoist::testing {

/// The injected faults of the stand-in store; set by `PUT /fault`.
struct kv_faults
{
    bool down_ = false;              ///< Every call gets the status 500.
    std::uint32_t delay_ms_ = 0;     ///< Added to every response.
    std::uint32_t lose_replies_ = 0; ///< The next so many writes take effect but get status 500.
};

/// Number of calls by kind.
struct kv_calls
{
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t waits_ = 0;
};

/// A stand-in for the store with the subset of Consul's published KV and session API that the nodes
/// use. `PUT /fault` sets faults, `PUT /lapse` ends all sessions, `GET /calls` returns the counts.
class kv_server
{
public:
    kv_server(event_loop& loop, std::string address, std::uint16_t port);

    bool start();
    std::uint16_t port() const;

private:
    struct waiter
    {
        exchange_ptr exchange_;
        std::string key_;
        std::uint64_t known_index_;
        instant until_;
    };

    void handle(const exchange_ptr& item);
    void handle_control(const exchange_ptr& item, std::string_view path);
    void handle_kv(const exchange_ptr& item, std::string_view key);
    void handle_session(const exchange_ptr& item, std::string_view path);
    void read(const exchange_ptr& item, std::string_view key);
    void write(const exchange_ptr& item, std::string_view key);
    void reply(const exchange_ptr& item, response_message response);
    void reply_write(const exchange_ptr& item, std::string_view body);
    response_message entries(std::string_view key, bool recurse) const;
    void notify_waiters();
    void tick();

    event_loop& loop_;
    system_clock clock_;
    kv_state state_;
    kv_faults faults_;
    kv_calls calls_;
    std::list<waiter> waiters_;
    http_server http_server_;
    timer ticker_;
};

} // namespace bamboohoist::testing

#endif
