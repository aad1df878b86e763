#ifndef BAMBOOHOIST_TESTING_PLATFORM_STORE_HPP
#define BAMBOOHOIST_TESTING_PLATFORM_STORE_HPP

#include "http/http_server.hpp"

#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace bamboohoist::testing {

/// A stand-in for the store of the users' platform: items with revisions, ranges, blocking watches,
/// conditional writes, and leases that do not expire by themselves. It can go back to a copy of its
/// contents; each response names its era. Belongs to one event loop.
class platform_store
{
public:
    explicit platform_store(event_loop& loop);

    bool start();
    void stop();
    std::string address() const;

    /// Writes a value without a lease, as the operator does.
    void put(std::string_view key, std::string_view value);

    /// Every call gets this status from now on; 0 restores normal operation.
    void set_failure_status(int status);

    /// Removes the history: watches from an earlier revision get the status 410.
    void compact_history();

    /// Ends all leases and removes their keys.
    void revoke_leases();

    /// Copies the contents, for `restore_copy()`.
    void save_copy();

    /// Goes back to the copy and begins a new era: the writes since then are lost, and revisions
    /// and identifiers of leases are issued again. Also works while calls get a failure status.
    void restore_copy();

    std::uint64_t revision() const;

    /// Names the era in each response from now on, or no longer.
    void set_names_era(bool names_era);

    bool contains(std::string_view key) const;

    /// True when a key with this prefix has a value that contains the text.
    bool holds(std::string_view prefix, std::string_view text) const;
    std::size_t calls() const;

private:
    struct item
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t lease_ = 0;
    };

    /// What is lost or restored together.
    struct contents
    {
        std::map<std::string, item, std::less<>> items_;
        std::map<std::string, std::uint64_t, std::less<>> tombstones_;
        std::uint64_t revision_ = 100;
        std::uint64_t compacted_revision_ = 0;
        std::uint64_t next_lease_ = 1;
        std::map<std::uint64_t, bool> leases_; ///< The valid leases by identifier.
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
    response_message apply_transaction(std::string_view body);
    void watch(const exchange_ptr& call);
    /// Completes a call with a response that names the era.
    void respond(const exchange_ptr& call, response_message response) const;
    nlohmann::json events(std::string_view prefix, std::uint64_t after) const;
    void notify_waiters();

    system_clock clock_;
    http_server http_server_;
    timer ticker_;
    contents contents_;
    contents copy_;
    std::uint64_t era_ = 1;
    bool names_era_ = true;
    std::list<waiter> waiters_;
    std::size_t calls_ = 0;
    int failure_status_ = 0;
};

} // namespace bamboohoist::testing

#endif
