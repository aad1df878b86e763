#ifndef BAMBOOHOIST_TESTING_KV_SERVER_HPP
#define BAMBOOHOIST_TESTING_KV_SERVER_HPP

#include "http/http_server.hpp"
#include "stand_in/kv_state.hpp"

#include <list>

namespace bamboohoist::testing {

/// What is wrong with the stand-in store at present; set over `PUT /fault`.
struct kv_faults
{
    bool down_ = false;              ///< Every call is answered with 500.
    std::uint32_t delay_ms_ = 0;     ///< Added to every answer.
    std::uint32_t lose_replies_ = 0; ///< So many writes take effect and are answered with 500.
};

/// Calls by kind, so that tests can count them.
struct kv_calls
{
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t waits_ = 0;
};

/// A stand-in for the platform's store over the published Consul KV subset that the product uses.
/// `PUT /fault` sets faults, `PUT /lapse` ends all sessions, `GET /calls` tells the counts.
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
        std::uint64_t seen_;
        instant until_;
    };

    void handle(const exchange_ptr& item);
    void handle_control(const exchange_ptr& item, std::string_view path);
    void handle_kv(const exchange_ptr& item, std::string_view key);
    void handle_session(const exchange_ptr& item, std::string_view path);
    void read(const exchange_ptr& item, std::string_view key);
    void write(const exchange_ptr& item, std::string_view key);
    void reply(const exchange_ptr& item, response_message answer);
    void reply_write(const exchange_ptr& item, std::string_view body);
    response_message entries(std::string_view key, bool recurse) const;
    void wake_waiters();
    void tick();

    event_loop& loop_;
    system_clock clock_;
    kv_state state_;
    kv_faults faults_;
    kv_calls calls_;
    std::list<waiter> waiters_;
    http_server front_;
    timer ticker_;
};

} // namespace bamboohoist::testing

#endif
