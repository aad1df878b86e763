#include "harness/fleet.hpp"

#include "harness/temporary_file.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <poll.h>
#include <stdexcept>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr std::array<const char*, 5> listeners{"callers", "operators", "announce", "peers",
                                               "gossip"};
constexpr duration settle_timeout = std::chrono::seconds(20);
constexpr duration poll_period = std::chrono::milliseconds(25);

/// A loopback address that no other process uses. On 127.0.0.1 any process may get a node's port
/// while the node restarts.
std::string own_loopback_address()
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64U + (id >> 16U) % 64U) + "." +
           std::to_string((id >> 8U) % 256U) + "." + std::to_string(id % 256U);
}

std::size_t count_alive(const json& status)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        status["nodes"], [](const json& node) { return node["state"] == "alive"; }));
}

std::size_t count_targets(const json& status)
{
    std::size_t count = 0;
    for (const json& node : status["nodes"])
    {
        count += node["state"] == "alive" ? node["targets"].size() : 0;
    }
    return count;
}

} // namespace

fleet::fleet()
    : store_process_(std::make_unique<process>("testing/store", std::span<const std::string>{}))
{
    store_ = store_process_->wait_ready()["address"];
}

node_process& fleet::add_node(std::string_view name, std::string_view region,
                              std::string_view domain, const json& extra)
{
    node_process item;
    item.name_ = std::string(name);
    item.region_ = std::string(region);
    item.domain_ = std::string(domain);
    item.settings_ = {
        {"node", name}, {"region", region}, {"domain", domain}, {"store", store_}, {"seed", 7}};
    for (const char* listener : listeners)
    {
        item.settings_[listener] = own_loopback_address() + ":0";
    }
    if (!extra.is_null())
    {
        item.settings_.update(extra);
    }
    start_node(item);
    return nodes_.emplace_back(std::move(item));
}

backend_process& fleet::add_backend(std::string_view service, std::string_view node_name,
                                    std::uint32_t slots)
{
    backend_process item;
    item.service_ = std::string(service);
    item.node_ = std::string(node_name);
    item.slots_ = slots;
    start_backend(item);
    if (!node(node_name).process_->wait_line(item.target_, settle_timeout))
    {
        throw std::runtime_error("the node did not log the announcement of " + item.target_);
    }
    return backends_.emplace_back(std::move(item));
}

void fleet::set_journal(std::string_view path)
{
    journal_ = std::string(path);
}

void fleet::replace_backend(backend_process& item)
{
    start_backend(item);
}

void fleet::start_backend(backend_process& item)
{
    const std::vector<std::string> arguments{
        "--service=" + item.service_, "--slots=" + std::to_string(item.slots_),
        "--announce=" + node(item.node_).announce_, "--seed=" + std::to_string(next_seed_++),
        "--journal=" + journal_};
    item.process_ = std::make_unique<process>("testing/backend", arguments);
    item.address_ = item.process_->wait_ready()["address"];
    item.target_ = item.service_ + "@" + item.address_;
}

void fleet::restart_node(std::string_view name)
{
    start_node(node(name));
}

json fleet::apply(const json& manifest, std::string_view who, std::string_view why)
{
    const json current = status(nodes_.front().name_);
    const json body{{"manifest", manifest.dump(1)},
                    {"base", current["newest"]["revision"]},
                    {"who", who},
                    {"why", why}};
    const json_reply reply = json_call(nodes_.front().operators_, "POST", "/v1/apply", body);
    if (!reply.body_.value("accepted", false))
    {
        throw std::runtime_error("the manifest was not accepted: " + reply.body_.dump());
    }
    return reply.body_;
}

json_reply fleet::try_apply(std::string_view node_name, const json& manifest, std::uint64_t base,
                            std::string_view who, const json& waived)
{
    const json body{{"manifest", manifest.dump()},
                    {"base", base},
                    {"who", who},
                    {"why", "a test of " + std::string(who)},
                    {"without_domains", waived}};
    return json_call(node(node_name).operators_, "POST", "/v1/apply", body,
                     std::chrono::seconds(30));
}

void fleet::wait_until_converged(std::size_t nodes, std::size_t targets)
{
    for (const node_process& item : nodes_)
    {
        const bool settled = wait_status(
            item.name_,
            [&](const json& status) {
                return count_alive(status) == nodes && count_targets(status) == targets;
            },
            settle_timeout);
        if (!settled)
        {
            throw std::runtime_error(
                item.name_ + " still sees other nodes or targets: " + status(item.name_).dump());
        }
    }
}

bool fleet::wait_status(std::string_view node_name,
                        const std::function<bool(const json&)>& condition, duration timeout)
{
    const system_clock clock;
    const instant end = clock.now() + timeout;
    while (clock.now() < end)
    {
        if (condition(status(node_name)))
        {
            return true;
        }
        wait_for_duration(poll_period);
    }
    return false;
}

json fleet::status(std::string_view node_name)
{
    return json_call(node(node_name).operators_, "GET", "/v1/status").body_;
}

std::uint64_t fleet::metric(std::string_view node_name, std::string_view name)
{
    request_message request;
    request.method_ = "GET";
    request.target_ = "/metrics";
    const auto response = http_call(node(node_name).operators_, std::move(request));
    const std::string line = "\nbamboohoist_" + std::string(name) + " ";
    const auto at = response ? response->body_.find(line) : std::string::npos;
    if (at == std::string::npos)
    {
        throw std::runtime_error("no metric " + std::string(name));
    }
    return std::stoull(response->body_.substr(at + line.size()));
}

void fleet::set_store_fault(const json& fault)
{
    json_call(store_, "PUT", "/fault", fault);
}

json fleet::store_calls()
{
    return json_call(store_, "GET", "/calls").body_;
}

void fleet::set_backend_fault(std::string_view target, const json& fault)
{
    json_call(backend(target).address_, "PUT", "/fault", fault);
}

json fleet::backend_calls(std::string_view target)
{
    return json_call(backend(target).address_, "GET", "/calls").body_;
}

bool fleet::wait_idle(std::string_view target, duration timeout)
{
    const system_clock clock;
    const instant end = clock.now() + timeout;
    json before;
    while (clock.now() < end)
    {
        const json calls = backend_calls(target);
        if (calls["running"] == 0 && !before.is_null() && calls["started"] == before["started"])
        {
            return true;
        }
        before = calls;
        wait_for_duration(std::chrono::milliseconds(500));
    }
    return false;
}

int fleet::make_path(const json& description)
{
    if (!proxy_process_)
    {
        proxy_process_ =
            std::make_unique<process>("testing/fault_proxy", std::span<const std::string>{});
        proxy_ = proxy_process_->wait_ready()["address"];
    }
    return json_call(proxy_, "POST", "/paths", description).body_["port"];
}

void fleet::set_path(int port, const json& faults)
{
    json_call(proxy_, "PUT", "/paths/" + std::to_string(port), faults);
}

json fleet::path_bytes(int port)
{
    return json_call(proxy_, "GET", "/paths/" + std::to_string(port)).body_;
}

node_process& fleet::node(std::string_view name)
{
    const auto found = std::ranges::find(nodes_, name, &node_process::name_);
    if (found == nodes_.end())
    {
        throw std::runtime_error("unknown node " + std::string(name));
    }
    return *found;
}

backend_process& fleet::backend(std::string_view target)
{
    const auto found = std::ranges::find(backends_, target, &backend_process::target_);
    if (found == backends_.end())
    {
        throw std::runtime_error("unknown target " + std::string(target));
    }
    return *found;
}

std::deque<node_process>& fleet::nodes()
{
    return nodes_;
}

std::deque<backend_process>& fleet::backends()
{
    return backends_;
}

std::vector<std::string> fleet::callers() const
{
    std::vector<std::string> addresses;
    for (const node_process& item : nodes_)
    {
        addresses.push_back(item.callers_);
    }
    return addresses;
}

std::string_view fleet::store() const
{
    return store_;
}

void fleet::start_node(node_process& item)
{
    item.file_ = std::make_unique<temporary_file>(item.settings_.dump());
    const std::vector<std::string> arguments{"--settings=" + item.file_->path()};
    item.process_ = std::make_unique<process>("src/daemon/bamboohoistd", arguments);
    const json ready = item.process_->wait_ready();
    item.callers_ = ready["callers"][0];
    item.operators_ = ready["operators"];
    item.announce_ = ready["announce"];
    item.peers_ = ready["peers"];
    item.gossip_ = ready["gossip"];
    // A restart listens on the same addresses, as a replaced VM with the same role would.
    for (const char* listener : listeners)
    {
        const json& address = ready[listener];
        item.settings_[listener] = address.is_array() ? address[0] : address;
    }
}

json make_manifest(std::initializer_list<std::string_view> services, const region_map& regions)
{
    json manifest{{"regions", json::array()},
                  {"services", json::array()},
                  {"routes", json::array()},
                  {"notes", json::array({{{"who", "day staff"}, {"why", "set up for a test"}}})}};
    for (const auto& [name, domains] : regions)
    {
        manifest["regions"].push_back({{"name", name}, {"domains", domains}});
    }
    for (const std::string_view service : services)
    {
        manifest["services"].push_back({{"name", service}});
        manifest["routes"].push_back(
            {{"host", "*"}, {"prefix", "/" + std::string(service)}, {"service", service}});
    }
    return manifest;
}

load_plan make_load_plan(std::span<const std::string> callers, std::string_view path, double rate,
                         double seconds)
{
    load_plan plan;
    plan.callers_.assign(callers.begin(), callers.end());
    plan.rate_ = rate;
    plan.seconds_ = seconds;
    load_kind& kind = plan.kinds_.emplace_back();
    kind.name_ = "work";
    kind.path_ = std::string(path);
    return plan;
}

background_load::background_load(load_plan plan, std::uint64_t seed) : plan_(std::move(plan))
{
    thread_ = std::thread([this, seed] { result_ = run_load_plan(plan_, seed); });
}

background_load::~background_load()
{
    if (thread_.joinable())
    {
        thread_.join();
    }
}

load_result background_load::finish()
{
    thread_.join();
    return std::move(result_);
}

void wait_for_duration(duration time)
{
    ::poll(nullptr, 0, static_cast<int>(to_ms(time)));
}

} // namespace bamboohoist::testing
