#ifndef BAMBOOHOIST_TESTING_FLEET_HPP
#define BAMBOOHOIST_TESTING_FLEET_HPP

#include "cli/load_generators.hpp"
#include "harness/http_call.hpp"
#include "harness/process.hpp"
#include "harness/temporary_file.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboohoist::testing {

/// A node process and its addresses.
struct node_process
{
    std::string name_;
    std::string region_;
    std::string domain_;
    nlohmann::json settings_;
    std::unique_ptr<temporary_file> file_; ///< Holds the settings while the process runs.
    std::unique_ptr<process> process_;
    std::string callers_;
    std::string operators_;
    std::string announce_;
    std::string peers_;
    std::string gossip_;
};

/// A stand-in backend server and what identifies it.
struct backend_process
{
    std::string service_;
    std::string node_;
    std::uint32_t slots_ = 7;
    std::unique_ptr<process> process_;
    std::string address_;
    std::string target_; ///< Its identifier in the fleet.
};

/// Real processes of a small fleet: a store, nodes, backend servers and, on demand, the
/// fault-injecting proxy. Everything ends with the object.
class fleet
{
public:
    fleet();

    /// Starts a node; `extra` is merged into its settings.
    node_process& add_node(std::string_view name, std::string_view region, std::string_view domain,
                           const nlohmann::json& extra = {});

    /// Starts a backend server beside a node and waits until the node knows it.
    backend_process& add_backend(std::string_view service, std::string_view node,
                                 std::uint32_t slots = 7);

    /// Backend servers started from now on append keyed requests to this file.
    void set_journal(std::string_view path);

    /// Starts another backend server in the place of one, as a replaced VM would, without
    /// waiting for its announcement.
    void replace_backend(backend_process& item);

    /// Starts a node's process again with the same settings and, if wanted, the same ports.
    void restart_node(std::string_view name);

    /// Applies a manifest through a node; throws unless it is accepted.
    nlohmann::json apply(const nlohmann::json& manifest, std::string_view who = "tests",
                         std::string_view why = "set up");

    /// As `apply()`, but returns whatever the node says.
    json_reply try_apply(std::string_view node, const nlohmann::json& manifest, std::uint64_t base,
                         std::string_view who = "tests",
                         const nlohmann::json& waived = nlohmann::json::array());

    /// Waits until every node sees so many alive nodes and targets. Throws after a while.
    void wait_until_converged(std::size_t nodes, std::size_t targets);

    /// Waits until a condition on a node's status holds; false after the time-out.
    bool wait_status(std::string_view node, const std::function<bool(const nlohmann::json&)>& holds,
                     duration timeout = std::chrono::seconds(15));

    nlohmann::json status(std::string_view node);
    std::uint64_t metric(std::string_view node, std::string_view name);
    void set_store_fault(const nlohmann::json& fault);
    nlohmann::json store_calls();
    void set_backend_fault(std::string_view target, const nlohmann::json& fault);
    nlohmann::json backend_calls(std::string_view target);

    /// Waits until a backend server has had no request in hand, and no new one, for half a second.
    bool wait_idle(std::string_view target, duration timeout);

    /// Makes a path through the proxy and returns its port.
    int make_path(const nlohmann::json& description);
    void set_path(int port, const nlohmann::json& faults);
    nlohmann::json path_bytes(int port);

    node_process& node(std::string_view name);
    backend_process& backend(std::string_view target);
    std::deque<node_process>& nodes();
    std::deque<backend_process>& backends();
    std::vector<std::string> callers() const;
    std::string_view store() const;

private:
    void start_node(node_process& item);
    void start_backend(backend_process& item);

    std::unique_ptr<process> store_process_;
    std::string store_;
    std::string journal_;
    std::uint64_t next_seed_ = 1;
    std::unique_ptr<process> proxy_process_;
    std::string proxy_;
    std::deque<node_process> nodes_; ///< A deque keeps references valid.
    std::deque<backend_process> backends_;
};

/// Failure domains by region.
using region_map = std::map<std::string, std::vector<std::string>>;

/// A manifest for some services under one path prefix each.
nlohmann::json make_manifest(std::initializer_list<std::string_view> services,
                             const region_map& regions);

/// A load of one kind of request, GET unless it is changed.
load_plan make_load_plan(std::span<const std::string> callers, std::string_view path, double rate,
                         double seconds);

/// Runs a load on its own thread. `finish()` waits for its end.
class background_load
{
public:
    background_load(load_plan plan, std::uint64_t seed);
    ~background_load();

    load_result finish();

private:
    load_plan plan_;
    load_result result_;
    std::thread thread_;
};

/// Lets time pass for what has no event to wait for, such as a load under way.
void wait_for_duration(duration time);

} // namespace bamboohoist::testing

#endif
