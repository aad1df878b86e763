#ifndef BAMBOOHOIST_TESTING_PLATFORM_STORE_HPP
#define BAMBOOHOIST_TESTING_PLATFORM_STORE_HPP

#include "http/http_server.hpp"

#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace bamboohoist::testing {

/// A stand-in for the store of the users' platform: items with revisions, ranges, watches that
/// wait, conditional writes and leases that do not lapse by themselves. Lives on one loop.
class platform_store
{
public:
    explicit platform_store(event_loop& loop);

    bool start();
    void stop();
    std::string address() const;

    /// Writes as the operator does.
    void put(std::string_view key, std::string_view value);

    /// Every call is answered with this status from now on; 0 ends that.
    void set_failure_status(int status);

    /// Watches from before now get 410.
    void compact_history();

    /// Ends all leases; their keys go.
    void revoke_leases();

    bool contains(std::string_view key) const;
    std::size_t calls() const;

private:
    struct item
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct waiter
    {
        exchange_ptr exchange_;
        std::string prefix_;
        std::uint64_t after_ = 0;
        instant until_;
    };

    void handle(const exchange_ptr& call);
    response_message range(std::string_view prefix) const;
    response_message transact(std::string_view body);
    void watch(const exchange_ptr& call);
    nlohmann::json events(std::string_view prefix, std::uint64_t after) const;
    void wake();

    system_clock clock_;
    http_server front_;
    timer ticker_;
    std::map<std::string, item, std::less<>> items_;
    std::map<std::string, std::uint64_t, std::less<>> tombstones_;
    std::list<waiter> waiters_;
    std::uint64_t revision_ = 100;
    std::uint64_t history_from_ = 0;
    std::uint64_t next_lease_ = 1;
    std::map<std::uint64_t, bool> leases_; ///< Whether it is in force.
    std::size_t calls_ = 0;
    int refusal_ = 0;
};

} // namespace bamboohoist::testing

#endif
