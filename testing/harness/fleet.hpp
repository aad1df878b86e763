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

/// A process of `bamboohoistd`, its settings and its addresses.
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

/// A process of the stand-in backend server.
struct backend_process
{
    std::string service_;
    std::string node_;
    std::uint32_t slots_ = 7;
    std::unique_ptr<process> process_;
    std::string address_;
    std::string target_; ///< Identifier of the target.
};

/// Runs a small fleet of real processes: a store, nodes, backend servers and, once a path is made,
/// the fault-injecting proxy. The destructor ends all of them.
class fleet
{
public:
    fleet();

    /// Starts a node. The members of `extra` are added to its settings.
    node_process& add_node(std::string_view name, std::string_view region, std::string_view domain,
                           const nlohmann::json& extra = {});

    /// Starts a backend server that announces itself to a node, and waits until it is announced.
    backend_process& add_backend(std::string_view service, std::string_view node,
                                 std::uint32_t slots = 7);

    /// Sets the file to which backend servers that are started later append the keyed requests
    /// that they run.
    void set_journal(std::string_view path);

    /// Starts a new process in the place of a backend server, as on a replaced VM. Does not wait
    /// for its announcement.
    void replace_backend(backend_process& item);

    /// Starts a node's process again with the same settings and addresses.
    void restart_node(std::string_view name);

    /// Applies a manifest through the first node. Throws unless it is accepted.
    nlohmann::json apply(const nlohmann::json& manifest, std::string_view who = "tests",
                         std::string_view why = "set up");

    /// Applies a manifest through the given node and returns its reply, accepted or not.
    json_reply try_apply(std::string_view node, const nlohmann::json& manifest, std::uint64_t base,
                         std::string_view who = "tests",
                         const nlohmann::json& waived = nlohmann::json::array());

    /// Waits until every node sees this number of alive nodes and of targets. Throws on a time-out.
    void wait_until_converged(std::size_t nodes, std::size_t targets);

    /// Waits until a node's status meets a condition. False after the time-out.
    bool wait_status(std::string_view node,
                     const std::function<bool(const nlohmann::json&)>& condition,
                     duration timeout = std::chrono::seconds(15));

    nlohmann::json status(std::string_view node);
    std::uint64_t metric(std::string_view node, std::string_view name);
    void set_store_fault(const nlohmann::json& fault);
    nlohmann::json store_calls();
    void set_backend_fault(std::string_view target, const nlohmann::json& fault);
    nlohmann::json backend_calls(std::string_view target);

    /// Waits until a backend server has run no request and started none for half a second. False
    /// after the time-out.
    bool wait_idle(std::string_view target, duration timeout);

    /// Makes a path through the fault-injecting proxy and returns the port on which it listens.
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
    std::deque<node_process> nodes_; ///< A deque, as references must stay valid.
    std::deque<backend_process> backends_;
};

/// Failure domains by region.
using region_map = std::map<std::string, std::vector<std::string>>;

/// A manifest with one route for each service, whose path prefix is the service's name.
nlohmann::json make_manifest(std::initializer_list<std::string_view> services,
                             const region_map& regions);

/// A load plan with one kind of request, which is a GET unless the caller changes it.
load_plan make_load_plan(std::span<const std::string> callers, std::string_view path, double rate,
                         double seconds);

/// Runs a load plan on its own thread.
class background_load
{
public:
    background_load(load_plan plan, std::uint64_t seed);
    ~background_load();

    /// Waits for the end of the load.
    load_result finish();

private:
    load_plan plan_;
    load_result result_;
    std::thread thread_;
};

/// Blocks for a fixed time. Only for what signals no event, such as a load that is running.
void wait_for_duration(duration time);

} // namespace bamboohoist::testing

#endif
