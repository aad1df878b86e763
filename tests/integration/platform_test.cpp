#include "fakes/silent_peer.hpp"
#include "harness/http_call.hpp"
#include "harness/platform_fixture.hpp"
#include "harness/platform_messages.hpp"
#include "harness/wait_for.hpp"
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
constexpr duration event_timeout = std::chrono::seconds(5);
/// A change is in force everywhere within this time, whatever fails.
constexpr duration change_limit = std::chrono::seconds(6);
/// The platform's bound for a change while the store works.
constexpr duration change_bound = std::chrono::milliseconds(2500);
constexpr std::string_view unused_address = "127.0.0.1:1"; ///< Refuses connections.

/// An operator's document with one route of each kind.
std::string make_document(std::uint64_t version)
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

/// A caller's connection that stays open between requests.
class persistent_connection
{
public:
    explicit persistent_connection(const std::string& server)
        : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto address = to_socket_address(*parse_endpoint(server));
        REQUIRE(::connect(fd_, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0);
        const timeval limit{3, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    ~persistent_connection()
    {
        ::close(fd_);
    }

    persistent_connection(const persistent_connection&) = delete;
    persistent_connection& operator=(const persistent_connection&) = delete;

    /// Sends a request without a body; true when the response has this status.
    bool has_status(std::string_view line, int status)
    {
        return send(line, "7f") && read_response() &&
               response_.starts_with("HTTP/1.1 " + std::to_string(status));
    }

    /// Sends a request without a body. False when the connection is closed.
    bool send(std::string_view line, std::string_view attempt_id) const
    {
        const std::string text = std::string(line) +
                                 " HTTP/1.1\r\nHost: shop.example\r\n"
                                 "X-Bamboohoist-Attempt-Id: " +
                                 std::string(attempt_id) +
                                 "\r\nX-Bamboohoist-Deadline-Remaining: 4000\r\n\r\n";
        return ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) > 0;
    }

    /// Reads the start of a response. False when the connection ends without one.
    bool read_response()
    {
        response_.clear();
        std::array<char, 4096> part{};
        const auto got = ::recv(fd_, part.data(), part.size(), 0);
        response_.assign(part.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
        return got > 0;
    }

    /// Limits what the kernel receives ahead of `read_all()`.
    void limit_receive_buffer(int bytes) const
    {
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }

    /// Reads until the connection ends and returns the number of bytes.
    std::size_t read_all() const
    {
        std::size_t total = 0;
        std::array<char, 65536> part{};
        for (;;)
        {
            const auto got = ::recv(fd_, part.data(), part.size(), 0);
            if (got <= 0)
            {
                return total;
            }
            total += static_cast<std::size_t>(got);
        }
    }

    const std::string& response() const
    {
        return response_;
    }

private:
    int fd_;
    std::string response_;
};

void sleep_for(duration time)
{
    std::promise<void> never;
    never.get_future().wait_for(time);
}

/// A platform fixture whose node has a configuration and a target.
struct ready_fixture
{
    explicit ready_fixture(platform_fixture::target_handler on_request = &echo)
        : fixture_(std::move(on_request))
    {
        fixture_.run_with_store(
            [](platform_store& store) { store.put("op/config", make_document(1)); });
        fixture_.start_node();
        REQUIRE(fixture_.wait_ready(200));
        REQUIRE(fixture_.send_heartbeat("i-1", "ready", 1, born_ms) == 200);
        REQUIRE(fixture_.node().wait_line("target announced", event_timeout));
        REQUIRE(wait_until_served(200));
    }

    static response_message echo(const request_message& request)
    {
        return make_signed_response(request, "body of " + request.target_);
    }

    /// Waits until the response to a read has this status.
    bool wait_until_served(int status)
    {
        return wait_for(
            [&] {
                const auto response = http_call(fixture_.callers(), make_request("GET", "/read/1"));
                return response && response->status_ == status;
            },
            event_timeout);
    }

    platform_fixture fixture_;
};

} // namespace

TEST_CASE("a request reaches the platform's target complete and in the platform's format, and its "
          "response the caller")
{
    ready_fixture ready;
    auto request = make_request("POST", "/pay/7?x=1");
    request.body_ = "four sacks";
    const auto response = http_call(ready.fixture_.callers(), request, std::chrono::seconds(12));
    REQUIRE(response);
    CHECK(response->status_ == 200);
    CHECK(response->body_ == "body of /pay/7?x=1");
    CHECK(find_header(response->headers_, "X-Bamboohoist-Response-Signature") == "3e1b.07");
    const received_request last_received = ready.fixture_.received().back();
    CHECK(last_received.method_ == "POST");
    CHECK(last_received.target_ == "/pay/7?x=1");
    CHECK(last_received.body_ == "four sacks");
    CHECK(find_header(last_received.headers_, "X-Bamboohoist-Attempt-Id") == "9c41d07be2a35f68");
    CHECK(find_header(last_received.headers_, "X-Bamboohoist-Caller-Service") == "orders");
    CHECK(find_header(last_received.headers_, "X-Bamboohoist-Target-Instance") == "i-1");
    const std::string left(
        find_header(last_received.headers_, "X-Bamboohoist-Deadline-Remaining").value());
    CHECK(std::stoi(left) <= 1000);
    CHECK(std::stoi(left) > 500);
}

// The node has not read the request when it refuses, and named an identifier of its own.
TEST_CASE("the refusal of a node without a configuration names the caller's attempt")
{
    platform_fixture fixture(&ready_fixture::echo);
    fixture.start_node();
    const auto response = http_call(fixture.callers(), make_request("GET", "/read/1"));
    REQUIRE(response);
    CHECK(response->status_ == 503);
    CHECK(find_header(response->headers_, "X-Bamboohoist-Attempt-Id") == "9c41d07be2a35f68");
}

TEST_CASE("a node without a configuration is not ready and refuses requests with a retry time")
{
    platform_fixture fixture(&ready_fixture::echo);
    fixture.start_node();
    CHECK(fixture.wait_ready(503));
    const auto response = http_call(fixture.callers(), make_request("GET", "/read/1"));
    REQUIRE(response);
    CHECK(response->status_ == 503);
    CHECK(find_header(response->headers_, "Retry-After"));
    fixture.run_with_store([](platform_store& store) { store.put("op/config", make_document(1)); });
    CHECK(fixture.wait_ready(200));
    CHECK(http_call(fixture.callers(), make_request("GET", "/other/1"))->status_ == 404);
}

TEST_CASE("changes arrive despite refusals, compacted history and documents that cannot be read")
{
    ready_fixture ready;
    const auto put = [&](std::string text) {
        ready.fixture_.run_with_store([&](platform_store& store) { store.put("op/config", text); });
    };
    put(make_document(4));
    CHECK(ready.fixture_.node().wait_line("revision 4", event_timeout));
    ready.fixture_.run_with_store([](platform_store& store) { store.compact_history(); });
    put(make_document(6));
    CHECK(ready.fixture_.node().wait_line("revision 6", event_timeout));
    put(R"({"Version": 7, "Routes": {)");
    CHECK(ready.fixture_.node().wait_line("the operator's document", event_timeout));
    CHECK(ready.wait_until_served(200));
    ready.fixture_.run_with_store([](platform_store& store) { store.set_failure_status(503); });
    put(make_document(9));
    CHECK(ready.fixture_.node().wait_line("store lost", event_timeout));
    CHECK(ready.wait_until_served(200));
    ready.fixture_.run_with_store([](platform_store& store) { store.set_failure_status(0); });
    CHECK(ready.fixture_.node().wait_line("store regained", event_timeout));
    CHECK(ready.fixture_.node().wait_line("revision 9", event_timeout));
}

TEST_CASE("of a document with unknown parts the understood routes are served, and no request of "
          "another route falls to them")
{
    ready_fixture ready;
    json document = json::parse(make_document(4));
    json& routes = document["Routes"];
    routes["r-file"] = routes["r-read"];
    routes["r-file"]["Prefix"] = "/file/";
    routes["r-file"]["Kind"] = "download";
    routes["r-new"] = routes["r-read"];
    routes["r-new"]["Prefix"] = "/read/new/";
    routes["r-new"].erase("Service");
    routes["r-pay"]["Kind"] = "sometimes";
    ready.fixture_.run_with_store(
        [&](platform_store& store) { store.put("op/config", document.dump()); });
    CHECK(ready.fixture_.node().wait_line("revision 4", event_timeout));
    CHECK(ready.fixture_.node().wait_line("unknown Kind", event_timeout));
    const auto status_of = [&](std::string_view method, std::string_view path) {
        const auto response = http_call(ready.fixture_.callers(), make_request(method, path));
        return response ? response->status_ : 0;
    };
    CHECK(status_of("GET", "/read/1") == 200);
    CHECK(status_of("GET", "/file/1") == 200);
    CHECK(status_of("POST", "/pay/1") == 200);
    const std::size_t received_before = ready.fixture_.received().size();
    const auto refused = http_call(ready.fixture_.callers(), make_request("GET", "/read/new/1"));
    REQUIRE(refused);
    CHECK(refused->status_ == 503);
    CHECK(find_header(refused->headers_, "Retry-After"));
    CHECK(ready.fixture_.received().size() == received_before);
}

TEST_CASE("a change is in force in time although the watch's connection went silent")
{
    ready_fixture ready;
    ready.fixture_.silence_store_connections();
    ready.fixture_.run_with_store(
        [](platform_store& store) { store.put("op/config", make_document(4)); });
    CHECK(ready.fixture_.node().wait_line("revision 4", change_limit));
}

TEST_CASE("a peer that announces a newer revision and never delivers it delays no change")
{
    ready_fixture ready;
    const silent_peer peer(*parse_endpoint(ready.fixture_.gossip_address()));
    CHECK(ready.fixture_.node().wait_line("sidecar-z9-1", event_timeout));
    // The change arrives in the middle of a fetch from the peer.
    std::promise<void> never;
    never.get_future().wait_for(std::chrono::milliseconds(250));
    ready.fixture_.run_with_store(
        [](platform_store& store) { store.put("op/config", make_document(4)); });
    CHECK(ready.fixture_.node().wait_line("revision 4", change_bound));
}

TEST_CASE("an entry that lapsed while the store was away is back two seconds after its return")
{
    ready_fixture ready;
    const auto has_entry = [&] {
        bool present = false;
        ready.fixture_.run_with_store([&](platform_store& store) {
            present = store.contains("bamboohoist/nodes/sidecar-z1-1");
        });
        return present;
    };
    CHECK(wait_for(has_entry, event_timeout));
    ready.fixture_.run_with_store([](platform_store& store) {
        store.set_failure_status(503);
        store.revoke_leases();
    });
    CHECK(ready.fixture_.node().wait_line("store lost", event_timeout));
    CHECK_FALSE(has_entry());
    ready.fixture_.run_with_store([](platform_store& store) { store.set_failure_status(0); });
    CHECK(wait_for(has_entry, std::chrono::seconds(2)));
}

TEST_CASE("restarted nodes that the store rejects are told by one that it serves")
{
    platform_fixture fixture(&ready_fixture::echo);
    std::vector<const further_node*> rejected;
    for (const std::string name : {"sidecar-z1-2", "sidecar-z1-3", "sidecar-z1-4"})
    {
        const further_node& added = fixture.start_further_node(name, unused_address);
        rejected.push_back(&added);
        fixture.run_with_store([&](platform_store& store) {
            store.put("bamboohoist/nodes/" + name, added.addresses_["gossip"].get<std::string>());
        });
    }
    fixture.run_with_store([](platform_store& store) { store.put("op/config", make_document(1)); });
    fixture.start_node();
    for (const further_node* node : rejected)
    {
        CHECK(platform_fixture::wait_ready(*node, 200));
    }
}

TEST_CASE("a store that returns only errors is not called in a tight loop")
{
    platform_fixture fixture(&ready_fixture::echo);
    fixture.run_with_store([](platform_store& store) { store.set_failure_status(418); });
    fixture.start_node();
    CHECK(fixture.wait_ready(503));
    std::promise<void> never;
    never.get_future().wait_for(std::chrono::seconds(4));
    std::size_t calls = 0;
    fixture.run_with_store([&](platform_store& store) { calls = store.calls(); });
    CHECK(calls >= 2);
    CHECK(calls <= 24);
}

TEST_CASE("a target whose leaving was acknowledged gets no more requests, and callers get 503")
{
    ready_fixture ready;
    CHECK(ready.fixture_.send_heartbeat("i-1", "draining", 2, born_ms) == 200);
    CHECK(ready.fixture_.node().wait_line("target leaving", event_timeout));
    CHECK(ready.wait_until_served(503));
    const std::size_t received_before = ready.fixture_.received().size();
    const auto response = http_call(ready.fixture_.callers(), make_request("POST", "/pay/1"));
    REQUIRE(response);
    CHECK(response->status_ == 503);
    CHECK(ready.fixture_.received().size() == received_before);
    CHECK(ready.fixture_.send_heartbeat("i-2", "ready", 1, born_ms + 5000) == 200);
    CHECK(ready.wait_until_served(200));
    CHECK(find_header(ready.fixture_.received().back().headers_, "X-Bamboohoist-Target-Instance") ==
          "i-2");
}

TEST_CASE("a response that does not belong to the request is not relayed")
{
    ready_fixture ready([](const request_message& request) {
        if (request.method_ == "GET")
        {
            return make_signed_response(request, "well");
        }
        response_message mismatched = make_signed_response(request, "for somebody else");
        mismatched.headers_[0].value_ = "another-request";
        return mismatched;
    });
    const auto response = http_call(ready.fixture_.callers(), make_request("POST", "/pay/1"));
    REQUIRE(response);
    CHECK(response->status_ == 502);
    CHECK(response->body_.find("somebody else") == std::string::npos);
}

TEST_CASE(
    "a node that is asked to stop is not ready, still responds and exits within the grace period")
{
    ready_fixture ready;
    const auto begin = std::chrono::steady_clock::now();
    ready.fixture_.node().signal(SIGTERM);
    CHECK(ready.fixture_.wait_ready(503));
    const auto response = http_call(ready.fixture_.callers(), make_request("GET", "/read/1"));
    REQUIRE(response);
    CHECK(response->status_ == 503);
    CHECK(ready.fixture_.node().wait_exit(std::chrono::seconds(8)) == 0);
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(6));
}

TEST_CASE("a leaving node refuses requests on open connections that it may not be able to finish")
{
    // A request without a response keeps the node alive. The next one may take two seconds, but the
    // node has only one left.
    ready_fixture ready([](const request_message& request) {
        return request.target_ == "/slow/1" ? response_message{} : ready_fixture::echo(request);
    });
    persistent_connection connection(ready.fixture_.callers());
    CHECK(connection.has_status("GET /read/1", 200));
    std::optional<response_message> last_response;
    std::thread caller([&] {
        auto request = make_request("POST", "/slow/1");
        request.headers_[1].value_ = "9000";
        last_response = http_call(ready.fixture_.callers(), request);
    });
    CHECK(ready.fixture_.wait_received("/slow/1"));
    ready.fixture_.node().signal(SIGTERM);
    std::promise<void> never;
    never.get_future().wait_for(std::chrono::milliseconds(4500));
    CHECK(connection.has_status("GET /read/1", 503));
    CHECK(connection.response().find("leaving") != std::string::npos);
    CHECK(ready.fixture_.node().wait_exit(std::chrono::seconds(8)) == 0);
    caller.join();
    // The request that was still running at the target gets a response with an unknown outcome.
    REQUIRE(last_response);
    CHECK(last_response->status_ == 502);
}

// Guards against a second stop request that goes unnoticed: requests in flight would be given up at
// the limit of the first one.
TEST_CASE("a second stop request restarts the time limit for requests in flight, and is logged")
{
    ready_fixture ready([](const request_message& request) {
        return request.target_ == "/slow/1" ? response_message{} : ready_fixture::echo(request);
    });
    process& leaving = ready.fixture_.node();
    std::optional<response_message> response;
    std::thread caller([&] {
        auto request = make_request("POST", "/slow/1");
        request.headers_[1].value_ = "9500";
        response = http_call(ready.fixture_.callers(), request, std::chrono::seconds(12));
    });
    CHECK(ready.fixture_.wait_received("/slow/1"));
    std::promise<void> never;
    leaving.signal(SIGTERM);
    CHECK(leaving.wait_line("asked to stop by a signal", event_timeout));
    never.get_future().wait_for(std::chrono::seconds(2));
    leaving.signal(SIGTERM);
    CHECK(leaving.wait_line("asked to stop again", event_timeout));
    // By then the limit of the first stop request has passed, but not that of the second.
    never = {};
    never.get_future().wait_for(std::chrono::seconds(4));
    ready.fixture_.respond_to_held(&ready_fixture::echo);
    CHECK(leaving.wait_exit(std::chrono::seconds(9)) == 0);
    caller.join();
    REQUIRE(response);
    CHECK(response->status_ == 200);
}

// Guards against requests that a node passes on in its last moments and never answers, because it
// had seen no request in flight shortly before.
TEST_CASE("a node that ends passes no request on without returning its response")
{
    platform_fixture fixture([](const request_message&) { return response_message{}; });
    fixture.run_with_store([](platform_store& store) { store.put("op/config", make_document(1)); });
    fixture.start_node();
    REQUIRE(fixture.wait_ready(200));
    const further_node& serving =
        fixture.start_further_node("sidecar-z1-2", fixture.store_address());
    REQUIRE(platform_fixture::wait_ready(serving, 200));
    REQUIRE(fixture.send_heartbeat(serving, "i-1", "ready", 1, born_ms) == 200);
    REQUIRE(wait_for(
        [&] {
            persistent_connection connection(fixture.callers());
            connection.send("GET /read/0", "first");
            sleep_for(std::chrono::milliseconds(50));
            fixture.respond_to_held(&ready_fixture::echo);
            return connection.read_response() && connection.response().starts_with("HTTP/1.1 200");
        },
        event_timeout));
    std::vector<std::unique_ptr<persistent_connection>> kept;
    for (int i = 0; i < 30; ++i)
    {
        kept.push_back(std::make_unique<persistent_connection>(fixture.callers()));
        REQUIRE(kept.back()->has_status("GET /unknown/1", 404));
    }
    fixture.node().signal(SIGTERM);
    // Kept connections are closed after their next response from 2.9 s on, and the node ends once
    // it finds no request in flight.
    sleep_for(std::chrono::milliseconds(2600));
    std::size_t answered = 0;
    for (const auto& connection : kept)
    {
        const std::string id = "late-" + std::to_string(answered);
        if (!connection->send("POST /pay/1", id))
        {
            break;
        }
        sleep_for(std::chrono::milliseconds(100));
        fixture.respond_to_held(&ready_fixture::echo);
        if (!connection->read_response())
        {
            const auto received = fixture.received();
            CHECK(std::ranges::none_of(received, [&](const received_request& request) {
                return find_header(request.headers_, "X-Bamboohoist-Attempt-Id") == id;
            }));
            break;
        }
        ++answered;
        sleep_for(std::chrono::milliseconds(60));
    }
    CHECK(answered > 0);
    CHECK(fixture.node().wait_exit(std::chrono::seconds(8)) == 0);
}

// Guards against responses that are cut off while they are written to a slow caller, because the
// request counts as finished once its response is known.
TEST_CASE("a node that ends writes the responses of slow callers to their end")
{
    constexpr std::size_t body_bytes = 7U << 20U;
    platform_fixture fixture([](const request_message& request) {
        return make_signed_response(request, std::string(body_bytes, 'x'));
    });
    fixture.run_with_store([](platform_store& store) { store.put("op/config", make_document(1)); });
    fixture.start_node();
    REQUIRE(fixture.wait_ready(200));
    const further_node& serving =
        fixture.start_further_node("sidecar-z1-2", fixture.store_address());
    REQUIRE(platform_fixture::wait_ready(serving, 200));
    REQUIRE(fixture.send_heartbeat(serving, "i-1", "ready", 1, born_ms) == 200);
    REQUIRE(wait_for(
        [&] {
            const auto response = http_call(fixture.callers(), make_request("GET", "/read/1"));
            return response && response->status_ == 200;
        },
        event_timeout));
    const persistent_connection connection(fixture.callers());
    connection.limit_receive_buffer(1 << 18);
    fixture.node().signal(SIGTERM);
    sleep_for(std::chrono::milliseconds(2500));
    REQUIRE(connection.send("GET /read/2", "slow"));
    sleep_for(std::chrono::milliseconds(1500));
    CHECK(connection.read_all() > body_bytes);
    CHECK(fixture.node().wait_exit(std::chrono::seconds(8)) == 0);
}

// Guards against a restarted node that takes a late announcement for that of a new target, because
// only its former process knew that the target had left (DRAIN).
TEST_CASE("a target whose leaving was acknowledged stays gone after a restart of its node")
{
    ready_fixture ready;
    bool ended = false;
    SUBCASE("it had announced its end")
    {
        ended = true;
        REQUIRE(ready.fixture_.send_deregistration("i-1", born_ms) == 200);
    }
    SUBCASE("it had announced that it leaves")
    {
        REQUIRE(ready.fixture_.send_heartbeat("i-1", "draining", 9, born_ms) == 200);
    }
    ready.fixture_.start_node();
    REQUIRE(ready.fixture_.wait_ready(200));
    const std::size_t received_before = ready.fixture_.received().size();
    CHECK(ready.fixture_.send_heartbeat("i-1", "ready", ended ? 2 : 8, born_ms) == 200);
    sleep_for(std::chrono::milliseconds(500));
    const auto refused = http_call(ready.fixture_.callers(), make_request("POST", "/pay/1"));
    REQUIRE(refused);
    CHECK(refused->status_ == 503);
    CHECK(ready.fixture_.received().size() == received_before);
    CHECK(ready.fixture_.send_heartbeat("i-1", "ready", 1, born_ms + 5000) == 200);
    CHECK(ready.wait_until_served(200));
}

// Guards against the same while the store rejects the restarted node: then its peers know.
TEST_CASE("a restarted node that the store rejects learns from its peers which target has left")
{
    platform_fixture fixture(&ready_fixture::echo);
    fixture.run_with_store([](platform_store& store) { store.put("op/config", make_document(1)); });
    fixture.start_node();
    REQUIRE(fixture.wait_ready(200));
    const std::string name = "sidecar-z1-2";
    further_node& serving = fixture.start_further_node(name, fixture.store_address());
    REQUIRE(platform_fixture::wait_ready(serving, 200));
    REQUIRE(fixture.send_heartbeat(serving, "i-1", "ready", 1, born_ms) == 200);
    const auto status = [&] {
        const auto response = http_call(fixture.callers(), make_request("POST", "/pay/1"));
        return response ? response->status_ : 0;
    };
    REQUIRE(wait_for([&] { return status() == 200; }, event_timeout));
    REQUIRE(platform_fixture::send_deregistration(serving, "i-1", born_ms) == 200);
    fixture.restart_further_node(serving, name, unused_address);
    fixture.run_with_store([&](platform_store& store) {
        store.put("bamboohoist/nodes/" + name, serving.addresses_["gossip"].get<std::string>());
    });
    REQUIRE(platform_fixture::wait_ready(serving, 200));
    const std::size_t received_before = fixture.received().size();
    CHECK(
        wait_for([&] { return fixture.send_heartbeat(serving, "i-1", "ready", 2, born_ms) == 200; },
                 event_timeout));
    sleep_for(std::chrono::milliseconds(500));
    CHECK(status() == 503);
    CHECK(fixture.received().size() == received_before);
}

// Guards against a node that takes the answer of a peer of another zone for complete, to which no
// leaving is copied (review/8, DRAIN).
TEST_CASE("a node alone in its zone that the store rejects after a restart remembers a leaving")
{
    platform_fixture fixture(&ready_fixture::echo);
    fixture.run_with_store([](platform_store& store) { store.put("op/config", make_document(1)); });
    fixture.start_node();
    REQUIRE(fixture.wait_ready(200));
    const std::string name = "z2-1";
    further_node& alone = fixture.start_further_node(name, fixture.store_address());
    REQUIRE(platform_fixture::wait_ready(alone, 200));
    REQUIRE(fixture.send_heartbeat(alone, "i-1", "ready", 1, born_ms) == 200);
    const auto status = [&] {
        const auto response = http_call(fixture.callers(), make_request("POST", "/pay/1"));
        return response ? response->status_ : 0;
    };
    REQUIRE(wait_for([&] { return status() == 200; }, event_timeout));
    REQUIRE(platform_fixture::send_deregistration(alone, "i-1", born_ms) == 200);
    fixture.restart_further_node(alone, name, unused_address);
    fixture.run_with_store([&](platform_store& store) {
        store.put("bamboohoist/nodes/" + name, alone.addresses_["gossip"].get<std::string>());
    });
    REQUIRE(platform_fixture::wait_ready(alone, 200));
    const std::size_t received_before = fixture.received().size();
    // The other node reads the store for it.
    CHECK(wait_for([&] { return fixture.send_heartbeat(alone, "i-1", "ready", 2, born_ms) == 200; },
                   event_timeout));
    sleep_for(std::chrono::milliseconds(500));
    CHECK(status() == 503);
    CHECK(fixture.received().size() == received_before);
    CHECK(fixture.send_heartbeat(alone, "i-1", "ready", 1, born_ms + 5000) == 200);
    CHECK(wait_for([&] { return status() == 200; }, event_timeout));
}

// Guards against an acknowledged leaving that nobody but the process knows of.
TEST_CASE("the leaving of a target is acknowledged only when it is noted outside of the process")
{
    ready_fixture ready;
    ready.fixture_.run_with_store([](platform_store& store) { store.set_failure_status(503); });
    CHECK(ready.fixture_.send_heartbeat("i-1", "draining", 2, born_ms) == 503);
    // It gets no more requests nevertheless.
    CHECK(ready.wait_until_served(503));
    ready.fixture_.run_with_store([](platform_store& store) { store.set_failure_status(0); });
    std::uint64_t sequence = 2;
    CHECK(wait_for(
        [&] {
            return ready.fixture_.send_heartbeat("i-1", "draining", ++sequence, born_ms) == 200;
        },
        event_timeout));
}

// Guards against an acknowledged leaving of which only processes know, all of which may be killed
// at the same moment (review/9, DRAIN).
TEST_CASE(
    "no leaving is acknowledged on a peer's copy, and once acknowledged it outlives all nodes")
{
    ready_fixture ready;
    platform_fixture& fixture = ready.fixture_;
    further_node& peer = fixture.start_further_node("sidecar-z1-2", fixture.store_address());
    REQUIRE(platform_fixture::wait_ready(peer, 200));
    REQUIRE(fixture.node().wait_line("node alive", event_timeout));
    fixture.run_with_store([](platform_store& store) { store.set_failure_status(503); });
    CHECK(fixture.send_deregistration("i-1", born_ms) == 503);
    CHECK(ready.wait_until_served(503));
    fixture.run_with_store([](platform_store& store) { store.set_failure_status(0); });
    REQUIRE(wait_for([&] { return fixture.send_deregistration("i-1", born_ms) == 200; },
                     event_timeout));
    peer.process_->kill();
    fixture.start_node();
    REQUIRE(fixture.wait_ready(200));
    const std::size_t received_before = fixture.received().size();
    CHECK(wait_for([&] { return fixture.send_heartbeat("i-1", "ready", 2, born_ms) == 200; },
                   event_timeout));
    sleep_for(std::chrono::milliseconds(500));
    const auto refused = http_call(fixture.callers(), make_request("POST", "/pay/1"));
    REQUIRE(refused);
    CHECK(refused->status_ == 503);
    CHECK(fixture.received().size() == received_before);
}

// Guards against announcements that count before the node knows what was known before its start.
TEST_CASE("announcements to a node that could not read its notes yet are not acknowledged")
{
    platform_fixture fixture(&ready_fixture::echo);
    fixture.run_with_store([](platform_store& store) {
        store.put("op/config", make_document(1));
        store.set_failure_status(503);
    });
    fixture.start_node();
    CHECK(fixture.send_heartbeat("i-1", "ready", 1, born_ms) == 503);
    fixture.run_with_store([](platform_store& store) { store.set_failure_status(0); });
    CHECK(fixture.node().wait_line("recovered", event_timeout));
    CHECK(fixture.send_heartbeat("i-1", "ready", 2, born_ms) == 200);
}

// Guards against restarted nodes that have forgotten which request crashes targets (BUDGET).
TEST_CASE("a quarantined request stays refused after a restart of its node")
{
    ready_fixture ready([](const request_message& request) {
        return request.target_ == "/read/poison" ? response_message{}
                                                 : ready_fixture::echo(request);
    });
    std::int64_t start_ms = born_ms;
    for (int crash = 0; crash < 2; ++crash)
    {
        const std::size_t received_before = ready.fixture_.received().size();
        std::thread caller(
            [&] { http_call(ready.fixture_.callers(), make_request("GET", "/read/poison")); });
        REQUIRE(wait_for([&] { return ready.fixture_.received().size() > received_before; },
                         event_timeout));
        ready.fixture_.crash_target();
        caller.join();
        CHECK(ready.fixture_.node().wait_line("target died", event_timeout));
        ready.fixture_.restart_target();
        start_ms += 5000;
        REQUIRE(ready.fixture_.send_heartbeat("i-1", "ready", 1, start_ms) == 200);
        REQUIRE(ready.wait_until_served(200));
    }
    CHECK(ready.fixture_.node().wait_line("quarantined", event_timeout));
    ready.fixture_.start_node();
    REQUIRE(ready.fixture_.wait_ready(200));
    REQUIRE(ready.fixture_.send_heartbeat("i-1", "ready", 2, start_ms) == 200);
    REQUIRE(ready.wait_until_served(200));
    const std::size_t received_before = ready.fixture_.received().size();
    const auto refused = http_call(ready.fixture_.callers(), make_request("GET", "/read/poison"),
                                   std::chrono::seconds(3));
    REQUIRE(refused);
    CHECK(refused->body_.find("quarantined") != std::string::npos);
    CHECK(ready.fixture_.received().size() == received_before);
}

// Guards against requests that bear the service that the VM had when its node started (UNASKED).
TEST_CASE("requests bear the service that the settings name now")
{
    ready_fixture ready;
    ready.fixture_.change_service("ledger");
    REQUIRE(ready.fixture_.node().wait_line("settings read again", event_timeout));
    const auto response = http_call(ready.fixture_.callers(), make_request("GET", "/read/1"));
    REQUIRE(response);
    REQUIRE(response->status_ == 200);
    CHECK(find_header(ready.fixture_.received().back().headers_, "X-Bamboohoist-Caller-Service") ==
          "ledger");
}
