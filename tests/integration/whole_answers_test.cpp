#include "fakes/ending_target.hpp"
#include "fakes/scripted_server.hpp"
#include "harness/http_call.hpp"
#include "harness/platform_fixture.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <future>
#include <sstream>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

constexpr duration event_timeout = std::chrono::seconds(5);
constexpr std::string_view request_id = "9c41d07be2a35f68";
constexpr std::string_view first_half = "half of the sacks, ";
constexpr std::string_view second_half = "and the other half.";

std::string make_document()
{
    const json body{{"Version", 1},
                    {"Routes",
                     {{"r-read",
                       {{"Hostname", "shop.example"},
                        {"Prefix", "/read/"},
                        {"Kind", "idempotent"},
                        {"Timeout", "3s"},
                        {"TargetLatency", "500ms"},
                        {"Service", "orders"},
                        {"Attempts", 2U}}}}},
                    {"Services", {{"orders", {{"HealthPath", "/health"}}}}},
                    {"Limits", json::object()}};
    return body.dump();
}

std::string whole_body()
{
    return std::string(first_half) + std::string(second_half);
}

/// The head of a target's success, without the empty line, with further fields.
std::string make_head(std::string_view id, std::string_view fields = "")
{
    return "HTTP/1.1 200 OK\r\nX-Bamboohoist-Attempt-Id: " + std::string(id) +
           "\r\nX-Bamboohoist-Response-Signature: 3e1b.07\r\n" + std::string(fields);
}

std::string make_answer(std::string_view id, std::string_view body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return make_head(id, length) + "\r\n" + std::string(body);
}

/// A node whose only target listens at an address of the test's own.
class target_fixture
{
public:
    explicit target_fixture(std::string_view target)
        : fixture_([](const request_message&) { return response_message{}; })
    {
        fixture_.run_with_store(
            [](platform_store& store) { store.put("op/config", make_document()); });
        fixture_.start_node();
        REQUIRE(fixture_.wait_ready(200));
        REQUIRE(fixture_.send_heartbeat("i-1", target) == 200);
        REQUIRE(fixture_.node().wait_line("target announced", event_timeout));
    }

    /// Sends an idempotent request, again until the ingress knows the target, and returns what the
    /// caller gets.
    response_message read(std::string_view id)
    {
        const auto deadline = std::chrono::steady_clock::now() + event_timeout;
        response_message response = send(id);
        while (response.body_.find("no-target") != std::string::npos &&
               std::chrono::steady_clock::now() < deadline)
        {
            std::promise<void> never;
            never.get_future().wait_for(send_period);
            response = send(id);
        }
        return response;
    }

    std::string metrics() const
    {
        return fixture_.metrics();
    }

private:
    static constexpr duration send_period = std::chrono::milliseconds(5);

    response_message send(std::string_view id)
    {
        request_message request;
        request.method_ = "GET";
        request.host_ = "shop.example";
        request.target_ = "/read/1";
        request.headers_ = {{"X-Bamboohoist-Attempt-Id", std::string(id)},
                            {"X-Bamboohoist-Deadline-Remaining", "3000"}};
        auto response = http_call(fixture_.callers(), request);
        REQUIRE(response);
        return std::move(*response);
    }

    platform_fixture fixture_;
};

/// A node whose only target answers with scripted bytes.
class scripted_fixture
{
public:
    explicit scripted_fixture(server_script script)
        : target_(std::move(script)), node_(target_.address())
    {
    }

    response_message read(std::string_view id)
    {
        return node_.read(id);
    }

    std::string metrics() const
    {
        return node_.metrics();
    }

private:
    scripted_server target_;
    target_fixture node_;
};

} // namespace

// Callers got the first part of a body as a whole answer.
TEST_CASE("an answer without a length that ends with its target's process is not taken for whole")
{
    scripted_fixture scripted(
        {{make_head(request_id) + "\r\n" + std::string(first_half)}, connection_end::process_end});
    CHECK(scripted.read(request_id).status_ == 502);
}

TEST_CASE("an answer without a length is relayed when its target closes the connection and lives")
{
    scripted_fixture closing(
        {{make_head(request_id) + "\r\n" + whole_body()}, connection_end::close});
    const response_message response = closing.read(request_id);
    CHECK(response.status_ == 200);
    CHECK(response.body_ == whole_body());
}

// A target that has too many connections was reported as crashed, and its answer as lost.
TEST_CASE("a target that ends further connections is not taken for a crashed one")
{
    for (const connection_end further_end : {connection_end::reset, connection_end::close})
    {
        scripted_fixture limited({{make_head(request_id) + "\r\n" + whole_body()},
                                  connection_end::close,
                                  1,
                                  further_end});
        const response_message response = limited.read(request_id);
        CHECK(response.status_ == 200);
        CHECK(response.body_ == whole_body());
        CHECK(limited.metrics().find("target_crashes_total 0\n") != std::string::npos);
    }
}

// The second answer was believed with the first, whose check had begun before the process ended.
TEST_CASE("an answer that ends with its target's process during another's check is not whole")
{
    ending_target target(
        [](std::string_view id) { return make_head(id) + "\r\n" + whole_body(); },
        [](std::string_view id) { return make_head(id) + "\r\n" + std::string(first_half); });
    target_fixture node(target.address());
    auto other = std::async(std::launch::async, [&] { return node.read("07be2a35f689c41d"); });
    const response_message response = node.read(request_id);
    const std::array responses{response, other.get()};
    CHECK(std::ranges::count(responses, 200, &response_message::status_) == 1);
    CHECK(std::ranges::count(responses, 502, &response_message::status_) == 1);
    CHECK(std::ranges::count(responses, whole_body(), &response_message::body_) == 1);
}

// Callers got a body that a second answer had filled up to the length of the first one.
TEST_CASE("a second answer does not complete one that broke off")
{
    const std::string first = make_answer(request_id, whole_body());
    const std::string broken_off = first.substr(0, first.size() - second_half.size());
    scripted_fixture scripted({{broken_off + make_answer(request_id, whole_body())}});
    CHECK(scripted.read(request_id).status_ == 502);
}

// Callers got a second answer as the end of the body of the first one.
TEST_CASE("a second answer is not part of an answer without a length")
{
    scripted_fixture scripted(
        {{make_head(request_id) + "\r\n" + whole_body() + make_answer(request_id, whole_body())},
         connection_end::close});
    CHECK(scripted.read(request_id).status_ == 502);
}

// A late second answer without an identifier was taken for that of the next request.
TEST_CASE("a success without the request's identifier is not relayed")
{
    scripted_fixture scripted({{"HTTP/1.1 200 OK\r\nX-Bamboohoist-Response-Signature: 3e1b.07\r\n"
                                "Content-Length: 4\r\n\r\nabcd"}});
    CHECK(scripted.read(request_id).status_ == 502);
}

// Callers got a success without a body, and with a length of 0.
TEST_CASE("an answer whose head is cut by the end of its connection is not taken for whole")
{
    scripted_fixture scripted({{make_head(request_id)}, connection_end::close});
    CHECK(scripted.read(request_id).status_ == 502);
}

// Callers got 503 for a request that the target had read from a kept connection before it closed
// that; the answer was about the copy that the client library sent again.
TEST_CASE("a refusal of the second copy of a request does not promise that it was not run")
{
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nX-Bamboohoist-Attempt-Id: " + std::string(request_id) +
        "\r\nX-Bamboohoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    scripted_fixture scripted({{refusal, ""}, connection_end::close});
    CHECK(scripted.read(request_id).status_ == 503);
    CHECK(scripted.read(request_id).status_ == 502);
}

// Callers got a body that ends in the first bytes of a second answer.
TEST_CASE("a second answer does not complete one that lacks its last two bytes")
{
    const std::string first = make_answer(request_id, whole_body());
    const std::string broken_off = first.substr(0, first.size() - 2);
    scripted_fixture scripted({{broken_off + make_answer(request_id, whole_body())}});
    CHECK(scripted.read(request_id).status_ == 502);
}

// A process whose address vanishes with it, as that of a container, doesn't refuse connections.
TEST_CASE("an answer without a length is not taken for whole when its target can't be reached then")
{
    scripted_fixture scripted(
        {{make_head(request_id) + "\r\n" + std::string(first_half)}, connection_end::deaf});
    CHECK(scripted.read(request_id).status_ == 502);
}

// Callers got a late failure of another request, for example a 408, which promises that theirs has
// not run.
TEST_CASE("a failure without the request's identifier is not relayed from a kept connection")
{
    const std::string late = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 4\r\n\r\nlate";
    scripted_fixture scripted({{make_answer(request_id, whole_body()), late}});
    REQUIRE(scripted.read(request_id).status_ == 200);
    CHECK(scripted.read("9c41d07be2a35f69").status_ == 502);
}

// Callers got the fields and the body of a second answer, whose status line had ended the line of a
// chunk's size.
TEST_CASE("a second answer does not continue one that broke off in the size of a chunk")
{
    const std::string chunked = make_head(request_id, "Transfer-Encoding: chunked\r\n");
    const std::string fields = chunked.substr(chunked.find("\r\n") + 2);
    std::ostringstream size;
    size << std::hex << fields.size();
    const std::string broken_off = chunked + "\r\n4\r\nhalf\r\n" + size.str();
    scripted_fixture scripted({{broken_off + chunked + "\r\n5\r\nother\r\n0\r\n\r\n"}});
    CHECK(scripted.read(request_id).status_ == 502);
}

// Callers got the error page of a server that failed while it sent an answer as the rest of its
// body.
TEST_CASE("a second answer without an identifier does not complete one that broke off")
{
    const std::string error_page = "HTTP/1.1 500 Internal Server Error\r\n"
                                   "Content-Type: text/html\r\nConnection: close\r\n\r\n" +
                                   std::string(whole_body().size(), '.');
    const std::string head = make_head(request_id, "Content-Length: 120\r\n") + "\r\n";
    scripted_fixture scripted({{head + std::string(first_half) + error_page}});
    CHECK(scripted.read(request_id).status_ == 502);
}

// A target in trouble answered with the status 000, and the caller got that as an answer.
TEST_CASE("an answer with the status 000 is not relayed, on a new or a kept connection")
{
    std::string zero = make_answer(request_id, whole_body());
    zero.replace(zero.find("200 OK"), 6, "000 No");
    scripted_fixture first({{zero}});
    CHECK(first.read(request_id).status_ == 502);
    scripted_fixture kept({{make_answer(request_id, whole_body()), zero}});
    REQUIRE(kept.read(request_id).status_ == 200);
    CHECK(kept.read(request_id).status_ == 502);
}
