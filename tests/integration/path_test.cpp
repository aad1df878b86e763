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

/// Two nodes, one backend server of one service beside each.
struct small_fleet
{
    explicit small_fleet(const json& extra = {})
    {
        fleet_.add_node("n1", "lagos", "ikeja", extra);
        fleet_.add_node("n2", "lagos", "lekki");
        fleet_.add_backend("ledger", "n1");
        fleet_.add_backend("ledger", "n2");
        fleet_.wait_until_converged(2, 2);
        fleet_.apply(make_manifest({"ledger"}, two_domains));
    }

    std::optional<response_message> ask(request_message request)
    {
        request.method_ = request.method_.empty() ? "GET" : request.method_;
        request.target_ = request.target_.empty() ? "/ledger" : request.target_;
        return http_call(fleet_.node("n1").callers_, std::move(request));
    }

    fleet fleet_;
};

std::string error_of(const std::optional<response_message>& answer)
{
    return answer ? std::string(find_header(answer->headers_, "Bamboohoist-Error").value_or(""))
                  : "no answer";
}

/// Connects and sends raw bytes; the socket is the caller's to close.
int raw_connection(const std::string& server, std::string_view bytes)
{
    const auto address = to_socket_address(*parse_endpoint(server));
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0);
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return fd;
}

/// Sends raw bytes and returns the first line of the answer.
std::string raw_status_line(const std::string& server, std::string_view bytes)
{
    const int fd = raw_connection(server, bytes);
    char buffer[512];
    const auto got = ::recv(fd, buffer, sizeof buffer, 0);
    ::close(fd);
    const std::string text(buffer, got > 0 ? static_cast<std::size_t>(got) : 0);
    return text.substr(0, text.find('\r'));
}

} // namespace

TEST_CASE("a request comes back whole and unchanged from end to end")
{
    small_fleet small;
    request_message request;
    request.method_ = "POST";
    request.target_ = "/ledger/7?q=%20x";
    request.headers_ = {{"X-Tag", "t1"}, {"Bamboohoist-Key", "forged"}};
    request.body_ = std::string(200'000, 'b');
    const auto answer = small.ask(request);
    REQUIRE(answer);
    CHECK(answer->status_ == 200);
    CHECK(find_header(answer->headers_, "X-Backend"));
    CHECK_FALSE(find_header(answer->headers_, "Bamboohoist-Outcome"));
    const json echoed = json::parse(answer->body_);
    CHECK(echoed["path"] == "/ledger/7?q=%20x");
    CHECK(echoed["body"] == request.body_);
    CHECK(echoed["tag"] == "t1");
}

TEST_CASE("every answer of the fleet itself carries error and outcome")
{
    small_fleet small;
    request_message nowhere;
    nowhere.target_ = "/nowhere";
    auto answer = small.ask(nowhere);
    CHECK(error_of(answer) == "no-route");
    CHECK(answer->status_ == 404);
    CHECK(find_header(answer->headers_, "Bamboohoist-Outcome") == "not-run");

    request_message hasty;
    hasty.headers_ = {{"X-Request-Timeout-Ms", "soon"}};
    answer = small.ask(hasty);
    CHECK(error_of(answer) == "bad-request");
    CHECK(answer->body_.find("milliseconds") != std::string::npos);

    for (backend_process& item : small.fleet_.backends())
    {
        small.fleet_.set_backend_fault(item.target_, {{"stall_share", 1.0}});
    }
    request_message stalled;
    stalled.method_ = "POST";
    stalled.headers_ = {{"X-Request-Timeout-Ms", "300"}};
    answer = small.ask(stalled);
    CHECK(error_of(answer) == "deadline-exceeded");
    CHECK(find_header(answer->headers_, "Bamboohoist-Outcome") == "unknown");
}

TEST_CASE("a node without a revision serves nothing and says so")
{
    fleet started;
    started.add_node("n1", "lagos", "ikeja");
    request_message request;
    request.method_ = "GET";
    request.target_ = "/ledger";
    const auto answer = http_call(started.node("n1").callers_, request);
    REQUIRE(answer);
    CHECK(error_of(answer) == "not-ready");
    CHECK(find_header(answer->headers_, "Bamboohoist-Outcome") == "not-run");
}

TEST_CASE("oversized and malformed requests are refused")
{
    small_fleet small;
    request_message large;
    large.method_ = "POST";
    large.body_ = std::string(2U << 20U, 'x');
    const auto answer = small.ask(large);
    REQUIRE(answer);
    CHECK(answer->status_ == 413);
    const std::string& server = small.fleet_.node("n1").callers_;
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

TEST_CASE("a caller that hangs up has its work cancelled at the target")
{
    small_fleet small;
    for (backend_process& item : small.fleet_.backends())
    {
        small.fleet_.set_backend_fault(item.target_, {{"service_ms", 3000.0}});
    }
    request_message request;
    request.method_ = "POST";
    request.target_ = "/ledger";
    CHECK_FALSE(
        http_call(small.fleet_.node("n1").callers_, request, std::chrono::milliseconds(300)));
    const system_clock clock;
    const instant end = clock.now() + std::chrono::seconds(2);
    std::uint64_t abandoned = 0;
    while (abandoned == 0 && clock.now() < end)
    {
        wait_for_duration(std::chrono::milliseconds(20));
        for (backend_process& item : small.fleet_.backends())
        {
            abandoned += small.fleet_.backend_calls(item.target_)["abandoned"].get<int>();
        }
    }
    CHECK(abandoned == 1);
}

TEST_CASE("bad settings end the daemon with status 2 and a clear message")
{
    const temporary_file file("{\"node\": \"n\",\n \"regoin\": \"r\"}");
    const std::vector<std::string> arguments{"--settings=" + file.path()};
    process daemon("src/daemon/bamboohoistd", arguments);
    CHECK(daemon.wait_exit(std::chrono::seconds(10)) == 2);
    CHECK(daemon.output().find("/region (line") != std::string::npos);
}

TEST_CASE("SIGTERM to a node under load cuts nothing")
{
    small_fleet small;
    load_plan plan = make_load_plan(small.fleet_.callers(), "/ledger/{n}", 300, 5);
    load_kind& kind = plan.kinds_.front();
    kind.method_ = "POST";
    kind.body_ = "x{n}";
    background_load load(plan, 5);
    wait_for_duration(std::chrono::milliseconds(1500));
    small.fleet_.node("n2").process_->signal(SIGTERM);
    const auto status = small.fleet_.node("n2").process_->wait_exit(std::chrono::seconds(20));
    CAPTURE(small.fleet_.node("n1").process_->output());
    CAPTURE(small.fleet_.node("n2").process_->output());
    CHECK(status == 0);
    const load_result result = load.finish();
    CAPTURE(json(result.errors_).dump());
    CHECK(result.outcomes_.at(load_outcome::complete) == 1500);
}

TEST_CASE("callers who write or read a byte now and then lose their connection")
{
    small_fleet small(json{{"transfer_timeout_s", 1}});
    const std::string& callers = small.fleet_.node("n1").callers_;
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

    // More than the buffers of both sockets take.
    constexpr std::size_t answer_bytes = 7'500'000;
    const int reader = raw_connection(callers, "GET /ledger HTTP/1.1\r\nHost: a\r\nX-Padding: " +
                                                   std::to_string(answer_bytes) + "\r\n\r\n");
    wait_for_duration(std::chrono::seconds(4));
    std::size_t read = 0;
    char buffer[65536];
    for (ssize_t got = 1; got > 0;)
    {
        got = ::recv(reader, buffer, sizeof buffer, 0);
        read += got > 0 ? static_cast<std::size_t>(got) : 0;
    }
    ::close(reader);
    CHECK(read > 0);
    CHECK(read < answer_bytes);
    CHECK(small.ask({})->status_ == 200);
}

TEST_CASE("a service's limit of connections to one target holds")
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
