#include "core/error.hpp"
#include "harness/fleet.hpp"
#include "harness/temporary_file.hpp"
#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

const region_map two_domains{{"lagos", {"ikeja", "lekki"}}};

/// Two nodes, each with one backend server of the same service.
struct two_node_fleet
{
    explicit two_node_fleet(const json& extra = {})
    {
        fleet_.add_node("n1", "lagos", "ikeja", extra);
        fleet_.add_node("n2", "lagos", "lekki");
        fleet_.add_backend("ledger", "n1");
        fleet_.add_backend("ledger", "n2");
        fleet_.wait_until_converged(2, 2);
        fleet_.apply(make_manifest({"ledger"}, two_domains));
    }

    std::optional<response_message> send_request(request_message request)
    {
        request.method_ = request.method_.empty() ? "GET" : request.method_;
        request.target_ = request.target_.empty() ? "/ledger" : request.target_;
        return http_call(fleet_.node("n1").callers_, std::move(request));
    }

    fleet fleet_;
};

std::string error_of(const std::optional<response_message>& response)
{
    return response ? std::string(find_header(response->headers_, "Bamboohoist-Error").value_or(""))
                    : "no response";
}

/// Connects and sends raw bytes. The caller closes the returned socket.
int raw_connection(const std::string& server, std::string_view bytes)
{
    const auto address = to_socket_address(*parse_endpoint(server));
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0);
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return fd;
}

/// Sends raw bytes and returns the first line of the response.
std::string raw_status_line(const std::string& server, std::string_view bytes)
{
    const int fd = raw_connection(server, bytes);
    char buffer[512];
    const auto received_bytes = ::recv(fd, buffer, sizeof buffer, 0);
    ::close(fd);
    const std::string text(buffer,
                           received_bytes > 0 ? static_cast<std::size_t>(received_bytes) : 0);
    return text.substr(0, text.find('\r'));
}

} // namespace

TEST_CASE("a request reaches its target, and the response its caller, complete and unchanged")
{
    two_node_fleet fixture;
    request_message request;
    request.method_ = "POST";
    request.target_ = "/ledger/7?q=%20x";
    request.headers_ = {{"X-Tag", "t1"}, {"Bamboohoist-Key", "forged"}};
    request.body_ = std::string(200'000, 'b');
    const auto response = fixture.send_request(request);
    REQUIRE(response);
    CHECK(response->status_ == 200);
    CHECK(find_header(response->headers_, "X-Backend"));
    CHECK_FALSE(find_header(response->headers_, "Bamboohoist-Outcome"));
    const json echoed = json::parse(response->body_);
    CHECK(echoed["path"] == "/ledger/7?q=%20x");
    CHECK(echoed["body"] == request.body_);
    CHECK(echoed["tag"] == "t1");
}

TEST_CASE("every response that the fleet generates carries error and outcome")
{
    two_node_fleet fixture;
    request_message unrouted;
    unrouted.target_ = "/nowhere";
    auto response = fixture.send_request(unrouted);
    CHECK(error_of(response) == "no-route");
    CHECK(response->status_ == 404);
    CHECK(find_header(response->headers_, "Bamboohoist-Outcome") == "not-run");

    request_message malformed;
    malformed.headers_ = {{"X-Request-Timeout-Ms", "soon"}};
    response = fixture.send_request(malformed);
    CHECK(error_of(response) == "bad-request");
    CHECK(response->body_.find("milliseconds") != std::string::npos);

    for (backend_process& item : fixture.fleet_.backends())
    {
        fixture.fleet_.set_backend_fault(item.target_, {{"stall_share", 1.0}});
    }
    request_message stalled;
    stalled.method_ = "POST";
    stalled.headers_ = {{"X-Request-Timeout-Ms", "300"}};
    response = fixture.send_request(stalled);
    CHECK(error_of(response) == "deadline-exceeded");
    CHECK(find_header(response->headers_, "Bamboohoist-Outcome") == "unknown");
}

TEST_CASE("a node without a revision refuses requests as not ready")
{
    fleet started;
    started.add_node("n1", "lagos", "ikeja");
    request_message request;
    request.method_ = "GET";
    request.target_ = "/ledger";
    const auto response = http_call(started.node("n1").callers_, request);
    REQUIRE(response);
    CHECK(error_of(response) == "not-ready");
    CHECK(find_header(response->headers_, "Bamboohoist-Outcome") == "not-run");
}

TEST_CASE("oversized and malformed requests are refused")
{
    two_node_fleet fixture;
    request_message large;
    large.method_ = "POST";
    large.body_ = std::string(2U << 20U, 'x');
    const auto response = fixture.send_request(large);
    REQUIRE(response);
    CHECK(response->status_ == 413);
    const std::string& server = fixture.fleet_.node("n1").callers_;
    const std::string chunked = "POST /ledger HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                                "\r\n4\r\nabcd\r\n0\r\n\r\n";
    CHECK(raw_status_line(server, chunked) == "HTTP/1.1 200 OK");
    CHECK(raw_status_line(server, "GET /ledger HTTP/1.1\r\n\r\n").find(" 400 ") !=
          std::string::npos);
    const std::string header = "GET /ledger HTTP/1.1\r\nHost: h\r\nX-Long: ";
    CHECK(raw_status_line(server, header + std::string(60'000, 'x') + "\r\n\r\n").find(" 431 ") !=
          std::string::npos);
    CHECK(raw_status_line(server, "GET /" + std::string(60'000, 'x') + " HTTP/1.1\r\n\r\n")
              .find(" 414 ") != std::string::npos);
}

TEST_CASE("a request is cancelled at its target when the caller disconnects")
{
    two_node_fleet fixture;
    for (backend_process& item : fixture.fleet_.backends())
    {
        fixture.fleet_.set_backend_fault(item.target_, {{"service_ms", 3000.0}});
    }
    request_message request;
    request.method_ = "POST";
    request.target_ = "/ledger";
    CHECK_FALSE(
        http_call(fixture.fleet_.node("n1").callers_, request, std::chrono::milliseconds(300)));
    const system_clock clock;
    const instant end = clock.now() + std::chrono::seconds(2);
    std::uint64_t abandoned = 0;
    while (abandoned == 0 && clock.now() < end)
    {
        wait_for_duration(std::chrono::milliseconds(20));
        for (backend_process& item : fixture.fleet_.backends())
        {
            abandoned += fixture.fleet_.backend_calls(item.target_)["abandoned"].get<int>();
        }
    }
    CHECK(abandoned == 1);
}

TEST_CASE("invalid settings end the daemon with status 2 and a clear message")
{
    const temporary_file file("{\"node\": \"n\",\n \"regoin\": \"r\"}");
    const std::vector<std::string> arguments{"--settings=" + file.path()};
    process daemon("src/daemon/bamboohoistd", arguments);
    CHECK(daemon.wait_exit(std::chrono::seconds(10)) == 2);
    CHECK(daemon.output().find("/region (line") != std::string::npos);
}

TEST_CASE("SIGTERM to a node under load interrupts no request")
{
    two_node_fleet fixture;
    load_plan plan = make_load_plan(fixture.fleet_.callers(), "/ledger/{n}", 300, 5);
    load_kind& kind = plan.kinds_.front();
    kind.method_ = "POST";
    kind.body_ = "x{n}";
    background_load load(plan, 5);
    wait_for_duration(std::chrono::milliseconds(1500));
    fixture.fleet_.node("n2").process_->signal(SIGTERM);
    const auto status = fixture.fleet_.node("n2").process_->wait_exit(std::chrono::seconds(20));
    CAPTURE(fixture.fleet_.node("n1").process_->output());
    CAPTURE(fixture.fleet_.node("n2").process_->output());
    CHECK(status == 0);
    const load_result result = load.finish();
    CAPTURE(json(result.errors_).dump());
    CHECK(result.outcomes_.at(load_outcome::complete) == 1500);
}

TEST_CASE("callers that send or read a byte now and then are disconnected")
{
    two_node_fleet fixture(json{{"transfer_timeout_s", 1}});
    const std::string& callers = fixture.fleet_.node("n1").callers_;
    const int writer = raw_connection(callers, "POST /ledger HTTP/1.1\r\nHost: a\r\n"
                                               "Content-Length: 1000\r\n\r\n");
    bool closed = false;
    for (int i = 0; i < 40 && !closed; ++i)
    {
        wait_for_duration(std::chrono::milliseconds(100));
        char byte = 'x';
        closed = ::send(writer, &byte, 1, MSG_NOSIGNAL) < 0 ||
                 ::recv(writer, &byte, 1, MSG_DONTWAIT) == 0;
    }
    ::close(writer);
    CHECK(closed);

    // More than the buffers of both sockets hold.
    constexpr std::size_t response_bytes = 7'500'000;
    const int reader = raw_connection(callers, "GET /ledger HTTP/1.1\r\nHost: a\r\nX-Padding: " +
                                                   std::to_string(response_bytes) + "\r\n\r\n");
    wait_for_duration(std::chrono::seconds(4));
    std::size_t read = 0;
    char buffer[65536];
    for (ssize_t received_bytes = 1; received_bytes > 0;)
    {
        received_bytes = ::recv(reader, buffer, sizeof buffer, 0);
        read += received_bytes > 0 ? static_cast<std::size_t>(received_bytes) : 0;
    }
    ::close(reader);
    CHECK(read > 0);
    CHECK(read < response_bytes);
    CHECK(fixture.send_request({})->status_ == 200);
}

TEST_CASE("a service's limit of connections to one target is kept")
{
    fleet started;
    started.add_node("n1", "lagos", "ikeja");
    const std::string target = started.add_backend("ledger", "n1").target_;
    started.set_backend_fault(target, {{"service_ms", 50.0}, {"sigma", 0.1}});
    started.wait_until_converged(1, 1);
    json manifest = make_manifest({"ledger"}, {{"lagos", {"ikeja"}}});
    manifest["services"][0]["connections"] = 2;
    started.apply(manifest);
    load_plan plan = make_load_plan(started.callers(), "/ledger/{n}", 30, 2);
    plan.kinds_.front().timeout_ms_ = 5000;
    const load_result result = background_load(plan, 3).finish();
    CHECK(result.outcomes_.at(load_outcome::complete) == 60);
    CHECK(started.backend_calls(target)["most_running"] == 2);
}
