#include "harness/platform_fixture.hpp"

#include "core/error.hpp"

#include "harness/http_call.hpp"
#include "harness/wait_for.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <stdexcept>

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr duration ready_timeout = std::chrono::seconds(10);

bool wait_status(const std::string& address, int status)
{
    return wait_for([&] { return json_call(address, "GET", "/v1/readiness").status_ == status; },
                    ready_timeout);
}

} // namespace

platform_fixture::platform_fixture(target_handler on_request)
    : loop_(std::make_unique<event_loop>(metrics_)),
      store_(std::make_unique<platform_store>(*loop_)),
      target_(std::make_unique<http_server>(
          *loop_, http_server_options{.name_ = "target", .address_ = "127.0.0.1"},
          [this](const exchange_ptr& call) { on_call(call); })),
      on_request_(std::move(on_request))
{
    if (!store_->start() || !target_->start())
    {
        throw std::runtime_error("cannot start the stand-in store or target: " +
                                 last_reason().text_);
    }
    store_path_ = std::make_unique<proxy_path>(*loop_, random_, *parse_endpoint(store_->address()));
    if (!store_path_->start(0))
    {
        throw std::runtime_error("cannot start the path to the stand-in store");
    }
    thread_ = std::thread([this] { loop_->run(); });
}

platform_fixture::~platform_fixture()
{
    further_nodes_.clear();
    node_.reset();
    run_with_store([this](platform_store& store) {
        held_.clear();
        store_path_.reset();
        target_->stop();
        store.stop();
    });
    loop_->request_stop();
    thread_.join();
}

void platform_fixture::start_node()
{
    node_.reset();
    file_ = std::make_unique<temporary_file>(boot_settings("sidecar-z1-1", store_address()));
    const std::vector<std::string> arguments{"--deployment=platform",
                                             "--settings=" + file_->path()};
    node_ = std::make_unique<process>("src/daemon/bamboohoistd", arguments);
    addresses_ = node_->wait_ready();
}

void platform_fixture::change_service(std::string_view service)
{
    std::ofstream(file_->path()) << boot_settings("sidecar-z1-1", store_address(), service);
    node_->signal(SIGHUP);
}

further_node& platform_fixture::start_further_node(std::string_view name,
                                                   std::string_view store_address)
{
    further_node& added = *further_nodes_.emplace_back(std::make_unique<further_node>());
    restart_further_node(added, name, store_address);
    return added;
}

void platform_fixture::restart_further_node(further_node& node, std::string_view name,
                                            std::string_view store_address)
{
    node.process_.reset();
    node.file_ = std::make_unique<temporary_file>(boot_settings(name, store_address));
    const std::vector<std::string> arguments{"--deployment=platform",
                                             "--settings=" + node.file_->path()};
    node.process_ = std::make_unique<process>("src/daemon/bamboohoistd", arguments);
    node.addresses_ = node.process_->wait_ready();
}

void platform_fixture::silence_store_connections()
{
    run_with_store([this](platform_store&) { store_path_->silence_all(); });
}

process& platform_fixture::node()
{
    return *node_;
}

void platform_fixture::run_with_store(const std::function<void(platform_store&)>& task)
{
    std::promise<void> done;
    loop_->post([&] {
        task(*store_);
        done.set_value();
    });
    done.get_future().wait();
}

int platform_fixture::send_heartbeat(std::string_view instance, std::string_view state,
                                     std::uint64_t sequence, std::int64_t born_ms)
{
    return post_heartbeat(announce_address(), instance, target_address(), state, sequence, born_ms);
}

int platform_fixture::send_heartbeat(std::string_view instance, std::string_view address)
{
    return post_heartbeat(announce_address(), instance, address, "ready", 1, 1);
}

int platform_fixture::send_heartbeat(const further_node& node, std::string_view instance,
                                     std::string_view state, std::uint64_t sequence,
                                     std::int64_t born_ms)
{
    return post_heartbeat(node.addresses_["announce"], instance, target_address(), state, sequence,
                          born_ms);
}

int platform_fixture::send_deregistration(std::string_view instance, std::int64_t born_ms)
{
    return post_deregistration(announce_address(), instance, {{"born", born_ms}});
}

int platform_fixture::send_deregistration(std::string_view instance)
{
    return post_deregistration(announce_address(), instance, nullptr);
}

int platform_fixture::send_deregistration(const further_node& node, std::string_view instance,
                                          std::int64_t born_ms)
{
    return post_deregistration(node.addresses_["announce"], instance, {{"born", born_ms}});
}

void platform_fixture::crash_target()
{
    run_with_store([this](platform_store&) {
        held_.clear();
        target_->stop();
    });
}

void platform_fixture::restart_target()
{
    bool started = false;
    run_with_store([&](platform_store&) { started = target_->start(); });
    if (!started)
    {
        throw std::runtime_error("cannot start the stand-in target again");
    }
}

int platform_fixture::post_deregistration(const std::string& announce, std::string_view instance,
                                          const json& body)
{
    return json_call(announce, "POST", "/v1/instances/" + std::string(instance) + "/deregister",
                     body)
        .status_;
}

int platform_fixture::post_heartbeat(const std::string& announce, std::string_view instance,
                                     std::string_view address, std::string_view state,
                                     std::uint64_t sequence, std::int64_t born_ms)
{
    const json body{
        {"born", born_ms},
        {"Address", address},
        {"Info", {{"Service", "orders"}, {"Version", "v1"}, {"Zone", "z1"}, {"Slots", 2}}},
        {"Status", {{"State", state}, {"Sequence", sequence}, {"Cold_time", "0ms"}}}};
    return json_call(announce, "POST", "/v1/instances/" + std::string(instance) + "/heartbeat",
                     body)
        .status_;
}

bool platform_fixture::wait_ready(int status)
{
    return wait_status(addresses_["readiness"], status);
}

bool platform_fixture::wait_ready(const further_node& node, int status)
{
    return wait_status(node.addresses_["readiness"], status);
}

std::string platform_fixture::gossip_address() const
{
    return addresses_["gossip"];
}

std::string platform_fixture::callers() const
{
    return addresses_["callers"][0];
}

std::string platform_fixture::metrics() const
{
    request_message request;
    request.method_ = "GET";
    request.target_ = "/metrics";
    const auto response = http_call(std::string(addresses_["operators"]), std::move(request));
    return response ? response->body_ : "";
}

std::string platform_fixture::announce_address() const
{
    return addresses_["announce"];
}

std::string platform_fixture::target_address() const
{
    return "127.0.0.1:" + std::to_string(target_->port());
}

std::string platform_fixture::store_address() const
{
    return "127.0.0.1:" + std::to_string(store_path_->port());
}

std::vector<received_request> platform_fixture::received()
{
    std::vector<received_request> copy;
    run_with_store([&](platform_store&) { copy = received_; });
    return copy;
}

bool platform_fixture::wait_received(std::string_view target)
{
    return wait_for(
        [&] {
            const auto all = received();
            return std::ranges::find(all, target, &received_request::target_) != all.end();
        },
        ready_timeout);
}

void platform_fixture::respond_to_held(const target_handler& respond)
{
    run_with_store([&](platform_store&) {
        for (const exchange_ptr& call : held_)
        {
            call->complete(respond(call->request()));
        }
        held_.clear();
    });
}

void platform_fixture::on_call(const exchange_ptr& call)
{
    const request_message& request = call->request();
    received_.push_back({request.method_, request.target_, request.headers_, request.body_});
    response_message response = on_request_(request);
    if (response.status_ == 0)
    {
        held_.push_back(call);
        return;
    }
    call->complete(std::move(response));
}

std::string platform_fixture::boot_settings(std::string_view name, std::string_view store_address,
                                            std::string_view service) const
{
    const std::string any = "127.0.0.1:0";
    const std::string_view zone = name.starts_with("z2-") ? "z2" : "z1";
    const json body{
        {"NodeId", name},
        {"Ip", "127.0.0.1"},
        {"Zone", zone},
        {"Region", "r1"},
        {"Zones", {{"z1", "r1"}, {"z2", "r1"}}},
        {"Listen", {{"Inbound", any}, {"Outbound", any}, {"Ready", any}, {"Control", any}}},
        {"PortRange", json::array({0U, 0U})},
        {"Bounds", json::array({"Grace=6s", "BudgetSlack=60"})},
        {"Service", service},
        {"Platform", {{"Address", store_address}, {"form", "kv"}}}};
    return body.dump();
}

} // namespace bamboohoist::testing
