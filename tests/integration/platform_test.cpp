#include "harness/http_call.hpp"
#include "harness/platform_fixture.hpp"
#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

constexpr std::int64_t born_ms = 1'700'000'000'000;
constexpr duration soon = std::chrono::seconds(5);

/// The operator's document with one route of each kind.
std::string document(std::uint64_t version)
{
    const json body{
        {"Version", version},
        {"Routes",
         {{"r-read",
           {{"Hostname", "shop.example"},
            {"Prefix", "/read/"},
            {"Kind", "idempotent"},
            {"Timeout", "2s"},
            {"TargetLatency", "500ms"},
            {"Service", "orders"},
            {"Attempts", 2U}}},
          {"r-slow",
           {{"Hostname", "shop.example"},
            {"Prefix", "/slow/"},
            {"Kind", "non_idempotent"},
            {"Timeout", "10s"},
            {"TargetLatency", "5s"},
            {"Service", "orders"},
            {"Attempts", 2U}}},
          {"r-pay",
           {{"Hostname", "shop.example"},
            {"Prefix", "/pay/"},
            {"Kind", "non_idempotent"},
            {"Timeout", "1s"},
            {"TargetLatency", "500ms"},
            {"Service", "orders"},
            {"Attempts", 2U}}}}},
        {"Services", {{"orders", {{"HealthPath", "/health"}, {"MaxConnections", 20U}}}}},
        {"Limits", json::object()}};
    return body.dump();
}

/// A target's answer in the platform's form.
response_message signed_answer(const request_message& request, std::string body)
{
    response_message answer;
    answer.status_ = 200;
    answer.headers_.push_back(
        {"X-Bamboohoist-Attempt-Id",
         std::string(find_header(request.headers_, "X-Bamboohoist-Attempt-Id").value_or(""))});
    answer.headers_.push_back({"X-Bamboohoist-Response-Signature", "3e1b.07"});
    answer.body_ = std::move(body);
    return answer;
}

request_message call(std::string_view method, std::string_view path)
{
    request_message request;
    request.method_ = std::string(method);
    request.host_ = "shop.example";
    request.target_ = std::string(path);
    request.headers_ = {{"X-Bamboohoist-Attempt-Id", "9c41d07be2a35f68"},
                        {"X-Bamboohoist-Deadline-Remaining", "4000"},
                        {"X-Bamboohoist-Caller-Service", "forged"}};
    return request;
}

/// One connection of a caller that stays open between requests.
class kept_connection
{
public:
    explicit kept_connection(const std::string& server) : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto address = to_socket_address(*parse_endpoint(server));
        REQUIRE(::connect(fd_, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0);
        const timeval limit{3, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    ~kept_connection()
    {
        ::close(fd_);
    }

    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;

    /// Sends a request without a body; true when the answer has this status.
    bool status_of(std::string_view line, int status)
    {
        const std::string text = std::string(line) +
                                 " HTTP/1.1\r\nHost: shop.example\r\n"
                                 "X-Bamboohoist-Attempt-Id: 7f\r\n"
                                 "X-Bamboohoist-Deadline-Remaining: 4000\r\n\r\n";
        ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
        response_.clear();
        std::array<char, 4096> part{};
        const auto got = ::recv(fd_, part.data(), part.size(), 0);
        response_.assign(part.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
        return response_.starts_with("HTTP/1.1 " + std::to_string(status));
    }

    const std::string& answer() const
    {
        return response_;
    }

private:
    int fd_;
    std::string response_;
};

/// A site whose node has a configuration and a target.
struct ready_site
{
    explicit ready_site(platform_fixture::target_handler on_request = &echo)
        : site_(std::move(on_request))
    {
        site_.run_with_store([](platform_store& store) { store.put("op/config", document(1)); });
        site_.start_node();
        REQUIRE(site_.wait_ready(200));
        REQUIRE(site_.send_heartbeat("i-1", "ready", 1, born_ms) == 200);
        REQUIRE(site_.node().wait_line("target announced", soon));
        REQUIRE(served(200));
    }

    static response_message echo(const request_message& request)
    {
        return signed_answer(request, "body of " + request.target_);
    }

    /// Waits until a read has this status.
    bool served(int status)
    {
        for (int i = 0; i < 100; ++i)
        {
            const auto answer = http_call(site_.callers(), call("GET", "/read/1"));
            if (answer && answer->status_ == status)
            {
                return true;
            }
        }
        return false;
    }

    platform_fixture site_;
};

} // namespace

TEST_CASE("a request goes from a caller to the platform's target and back, whole and in its terms")
{
    ready_site ready;
    auto request = call("POST", "/pay/7?x=1");
    request.body_ = "four sacks";
    const auto answer = http_call(ready.site_.callers(), request, std::chrono::seconds(12));
    REQUIRE(answer);
    CHECK(answer->status_ == 200);
    CHECK(answer->body_ == "body of /pay/7?x=1");
    CHECK(find_header(answer->headers_, "X-Bamboohoist-Response-Signature") == "3e1b.07");
    const received_request received = ready.site_.received().back();
    CHECK(received.method_ == "POST");
    CHECK(received.target_ == "/pay/7?x=1");
    CHECK(received.body_ == "four sacks");
    CHECK(find_header(received.headers_, "X-Bamboohoist-Attempt-Id") == "9c41d07be2a35f68");
    CHECK(find_header(received.headers_, "X-Bamboohoist-Caller-Service") == "orders");
    CHECK(find_header(received.headers_, "X-Bamboohoist-Target-Instance") == "i-1");
    const std::string left(
        find_header(received.headers_, "X-Bamboohoist-Deadline-Remaining").value());
    CHECK(std::stoi(left) <= 1000);
    CHECK(std::stoi(left) > 500);
}

TEST_CASE("without a configuration a node is not ready and promises that nothing was run")
{
    platform_fixture site(&ready_site::echo);
    site.start_node();
    CHECK(site.wait_ready(503));
    const auto answer = http_call(site.callers(), call("GET", "/read/1"));
    REQUIRE(answer);
    CHECK(answer->status_ == 503);
    CHECK(find_header(answer->headers_, "Retry-After"));
    site.run_with_store([](platform_store& store) { store.put("op/config", document(1)); });
    CHECK(site.wait_ready(200));
    CHECK(http_call(site.callers(), call("GET", "/other/1"))->status_ == 404);
}

TEST_CASE("changes come through refusals, forgotten history and documents that cannot be read")
{
    ready_site ready;
    const auto put = [&](std::string text) {
        ready.site_.run_with_store([&](platform_store& store) { store.put("op/config", text); });
    };
    put(document(4));
    CHECK(ready.site_.node().wait_line("revision 4", soon));
    ready.site_.run_with_store([](platform_store& store) { store.compact_history(); });
    put(document(6));
    CHECK(ready.site_.node().wait_line("revision 6", soon));
    put(R"({"Version": 7, "Routes": {)");
    CHECK(ready.site_.node().wait_line("the operator's document", soon));
    CHECK(ready.served(200));
    ready.site_.run_with_store([](platform_store& store) { store.set_failure_status(503); });
    put(document(9));
    CHECK(ready.site_.node().wait_line("store lost", soon));
    CHECK(ready.served(200));
    ready.site_.run_with_store([](platform_store& store) { store.set_failure_status(0); });
    CHECK(ready.site_.node().wait_line("store regained", soon));
    CHECK(ready.site_.node().wait_line("revision 9", soon));
}

TEST_CASE("a store that answers nothing useful is not asked again and again")
{
    platform_fixture site(&ready_site::echo);
    site.run_with_store([](platform_store& store) { store.set_failure_status(418); });
    site.start_node();
    CHECK(site.wait_ready(503));
    std::promise<void> never;
    never.get_future().wait_for(std::chrono::seconds(4));
    std::size_t calls = 0;
    site.run_with_store([&](platform_store& store) { calls = store.calls(); });
    CHECK(calls >= 2);
    CHECK(calls <= 24);
}

TEST_CASE("an acknowledged leaving target gets no more work, and what it did not run is said so")
{
    ready_site ready;
    CHECK(ready.site_.send_heartbeat("i-1", "draining", 2, born_ms) == 200);
    CHECK(ready.site_.node().wait_line("target leaving", soon));
    CHECK(ready.served(503));
    const std::size_t before = ready.site_.received().size();
    const auto answer = http_call(ready.site_.callers(), call("POST", "/pay/1"));
    REQUIRE(answer);
    CHECK(answer->status_ == 503);
    CHECK(ready.site_.received().size() == before);
    CHECK(ready.site_.send_heartbeat("i-2", "ready", 1, born_ms + 5000) == 200);
    CHECK(ready.served(200));
    CHECK(find_header(ready.site_.received().back().headers_, "X-Bamboohoist-Target-Instance") ==
          "i-2");
}

TEST_CASE("what is not the target's answer does not pass for one")
{
    ready_site ready([](const request_message& request) {
        if (request.method_ == "GET")
        {
            return signed_answer(request, "well");
        }
        response_message other = signed_answer(request, "for somebody else");
        other.headers_[0].value_ = "another-request";
        return other;
    });
    const auto answer = http_call(ready.site_.callers(), call("POST", "/pay/1"));
    REQUIRE(answer);
    CHECK(answer->status_ == 502);
    CHECK(answer->body_.find("somebody else") == std::string::npos);
}

TEST_CASE("a node that is asked to stop says so, serves on and ends within the grace period")
{
    ready_site ready;
    const auto begin = std::chrono::steady_clock::now();
    ready.site_.node().signal(SIGTERM);
    CHECK(ready.site_.wait_ready(503));
    const auto answer = http_call(ready.site_.callers(), call("GET", "/read/1"));
    REQUIRE(answer);
    CHECK(answer->status_ == 503);
    CHECK(ready.site_.node().wait_exit(std::chrono::seconds(8)) == 0);
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(6));
}

TEST_CASE("late in its leaving a node refuses what it might not end, on connections kept open")
{
    // A target that never answers keeps the node alive; what comes then may take two seconds, and
    // the node has one left.
    ready_site ready([](const request_message& request) {
        return request.target_ == "/slow/1" ? response_message{} : ready_site::echo(request);
    });
    kept_connection connection(ready.site_.callers());
    CHECK(connection.status_of("GET /read/1", 200));
    std::optional<response_message> last;
    std::thread waiting([&] {
        auto request = call("POST", "/slow/1");
        request.headers_[1].value_ = "9000";
        last = http_call(ready.site_.callers(), request);
    });
    CHECK(ready.site_.wait_received("/slow/1"));
    ready.site_.node().signal(SIGTERM);
    std::promise<void> never;
    never.get_future().wait_for(std::chrono::milliseconds(4500));
    CHECK(connection.status_of("GET /read/1", 503));
    CHECK(connection.answer().find("leaving") != std::string::npos);
    CHECK(ready.site_.node().wait_exit(std::chrono::seconds(8)) == 0);
    waiting.join();
    // What the target still held has an answer that promises nothing.
    REQUIRE(last);
    CHECK(last->status_ == 502);
}

TEST_CASE("a node that is asked to stop twice gives its work the time of the second request")
{
    ready_site ready([](const request_message& request) {
        return request.target_ == "/slow/1" ? response_message{} : ready_site::echo(request);
    });
    std::optional<response_message> answer;
    std::thread waiting([&] {
        auto request = call("POST", "/slow/1");
        request.headers_[1].value_ = "9500";
        answer = http_call(ready.site_.callers(), request, std::chrono::seconds(12));
    });
    CHECK(ready.site_.wait_received("/slow/1"));
    std::promise<void> never;
    ready.site_.node().signal(SIGTERM);
    never.get_future().wait_for(std::chrono::seconds(3));
    ready.site_.node().signal(SIGTERM);
    // The limit of the first request has passed then, that of the second has not.
    never = {};
    never.get_future().wait_for(std::chrono::seconds(4));
    ready.site_.respond_to_held(&ready_site::echo);
    CHECK(ready.site_.node().wait_exit(std::chrono::seconds(9)) == 0);
    waiting.join();
    REQUIRE(answer);
    CHECK(answer->status_ == 200);
}
