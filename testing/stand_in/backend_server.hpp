#ifndef BAMBOOHOIST_TESTING_BACKEND_SERVER_HPP
#define BAMBOOHOIST_TESTING_BACKEND_SERVER_HPP

#include "core/random_source.hpp"
#include "http/http_client.hpp"
#include "http/http_server.hpp"

#include <map>
#include <optional>

namespace bamboohoist::testing {

/// The behaviour of a stand-in backend server; set by `PUT /fault`.
struct backend_faults
{
    double service_ms_ = 2.0;  ///< Median service time.
    double sigma_ = 0.3;       ///< Shape of the log-normal distribution of service times.
    double factor_ = 1.0;      ///< Multiplier of the service time.
    double stall_share_ = 0.0; ///< Fraction of requests that never get a response.
    double error_share_ = 0.0; ///< Fraction of requests that get the status 500 at once.
    bool announcing_ = true;   ///< Whether announcements are sent.
    bool leaving_ = false;
};

/// Counts of the requests to the stand-in; read by `GET /calls`.
struct backend_calls
{
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::uint64_t abandoned_ = 0;
    std::uint64_t probes_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t max_running_ = 0;
    std::int64_t last_start_ms_ = 0; ///< Wall clock.
    std::map<std::string, std::uint32_t> runs_by_key_;
};

/// A stand-in backend server: announces itself, echoes requests after a service time, and simulates
/// gray failures on demand (slow, stalled or failing requests). A request with the header
/// `X-Crash: 1` ends its process.
class backend_server
{
public:
    backend_server(event_loop& loop, std::string service, std::uint32_t slots,
                   std::string announce_address, std::uint64_t seed, std::string_view journal);
    ~backend_server();

    bool start();
    std::uint16_t port() const;

private:
    void handle(const exchange_ptr& item);
    void handle_control(const exchange_ptr& item, std::string_view path);
    void serve(const exchange_ptr& item);
    void finish(const exchange_ptr& item);
    void write_journal(std::string_view key, std::string_view request) const;
    void announce();

    event_loop& loop_;
    system_clock clock_;
    random_source random_;
    std::string service_;
    std::uint32_t slots_;
    std::string announce_address_;
    std::string incarnation_;
    backend_faults faults_;
    backend_calls calls_;
    std::uint64_t stalled_ = 0;
    int journal_fd_ = -1; ///< One line per keyed request that starts; outlives the process.
    http_server http_server_;
    http_client client_;
    timer announce_timer_;
};

} // namespace bamboohoist::testing

#endif
