/// Runs the fault-injecting proxy as a process. Paths are controlled by HTTP: `POST /paths`
/// {server, port?} creates a path and returns {port}; `PUT /paths/PORT` sets faults or the server,
/// silences or resets connections; `GET /paths/PORT` returns the numbers of forwarded bytes.

#include "core/error.hpp"
#include "http/http_server.hpp"
#include "stand_in/proxy_path.hpp"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

DEFINE_int32(port, 0, "port of the control server; 0 selects a free port");
DEFINE_uint64(seed, 1, "seed of the random losses and jitter");

namespace {

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

void read_direction(const json& node, direction_faults& faults)
{
    faults.delay_ms_ = node.value("delay_ms", faults.delay_ms_);
    faults.jitter_ms_ = node.value("jitter_ms", faults.jitter_ms_);
    faults.bytes_per_s_ = node.value("bytes_per_s", faults.bytes_per_s_);
    faults.loss_ = node.value("loss", faults.loss_);
    faults.black_hole_ = node.value("black_hole", faults.black_hole_);
}

/// The paths of the proxy and the HTTP server that controls them.
class proxy_control
{
public:
    explicit proxy_control(event_loop& loop)
        : loop_(loop), random_(FLAGS_seed),
          http_server_(
              loop,
              http_server_options{.name_ = "proxy-control",
                                  .address_ = "127.0.0.1",
                                  .port_ = static_cast<std::uint16_t>(FLAGS_port)},
              [this](const exchange_ptr& item) { item->complete(handle(item->request())); })
    {
    }

    bool start()
    {
        return http_server_.start();
    }

    std::uint16_t port() const
    {
        return http_server_.port();
    }

private:
    response_message handle(const request_message& request)
    {
        constexpr std::string_view prefix = "/paths/";
        const json body =
            request.body_.empty() ? json::object() : json::parse(request.body_, nullptr, false);
        if (request.target_ == "/paths" && request.method_ == "POST")
        {
            return make_path(body);
        }
        if (!request.target_.starts_with(prefix))
        {
            return json_response(404, "{}");
        }
        const int port = std::stoi(request.target_.substr(prefix.size()));
        const auto found = paths_.find(port);
        if (found == paths_.end())
        {
            return json_response(404, "{}");
        }
        return update_path(*found->second, body);
    }

    response_message make_path(const json& body)
    {
        const auto server = parse_endpoint(body.value("server", "127.0.0.1:1"));
        auto path = std::make_unique<proxy_path>(loop_, random_, *server);
        if (!path->start(static_cast<std::uint16_t>(body.value("port", 0))))
        {
            return json_response(500, "{}");
        }
        const int port = path->port();
        read_faults(body, *path);
        paths_.emplace(port, std::move(path));
        return json_response(200, json{{"port", port}}.dump());
    }

    static void read_faults(const json& body, proxy_path& path)
    {
        read_direction(body.value("forward", json::object()), path.faults().forward_);
        read_direction(body.value("backward", json::object()), path.faults().backward_);
        path.faults().refuse_ = body.value("refuse", path.faults().refuse_);
    }

    static response_message update_path(proxy_path& path, const json& body)
    {
        read_faults(body, path);
        if (const auto server = parse_endpoint(body.value("server", "")))
        {
            path.set_server(*server);
        }
        if (body.value("reset", false))
        {
            path.reset_all();
        }
        if (body.value("silence", false))
        {
            path.silence_all();
        }
        return json_response(
            200, json{{"forward_bytes", path.bytes(true)}, {"backward_bytes", path.bytes(false)}}
                     .dump());
    }

    event_loop& loop_;
    random_source random_;
    std::map<int, std::unique_ptr<proxy_path>> paths_;
    http_server http_server_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    process_metrics metrics;
    event_loop loop(metrics);
    proxy_control control(loop);
    if (!control.start())
    {
        std::cerr << last_reason().text_ << '\n';
        return 1;
    }
    std::cout << R"({"ready":"proxy","address":"127.0.0.1:)" << control.port() << "\"}"
              << std::endl;
    loop.run();
    return 0;
}
