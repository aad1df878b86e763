#include "platform/kv_store.hpp"

#include "fakes/scripted_server.hpp"
#include "fakes/single_response_server.hpp"
#include "stand_in/platform_store.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::connection_end;
using bamboohoist::testing::scripted_server;
using bamboohoist::testing::server_script;
using bamboohoist::testing::single_response_server;

namespace {

/// Makes a call over a reused connection that the server closes without a response. Returns the
/// number of responses that the server has sent, that of the first call included.
int count_responses(const std::function<void(store_client&, store_client::callback)>& call)
{
    const single_response_server server;
    process_metrics metrics;
    event_loop loop(metrics);
    platform::kv_store store(loop, *parse_endpoint(server.address()), {}, metrics);
    store.list("first/", [&](const store_reply&) {
        call(store, [&](const store_reply& reply) {
            CHECK(reply.status_ == store_status::unavailable);
            loop.request_stop();
        });
    });
    loop.run();
    return server.response_count();
}

} // namespace

TEST_CASE("an interrupted watch is not sent again, because the store may have removed its history")
{
    const int watch_responses =
        count_responses([](store_client& store, store_client::callback on_reply) {
            store.watch("bamboohoist/head", 5, std::chrono::seconds(2), std::move(on_reply));
        });
    CHECK(watch_responses == 1);
    const int list_responses =
        count_responses([](store_client& store, store_client::callback on_reply) {
            store.list("second/", std::move(on_reply));
        });
    CHECK(list_responses == 2);
}

namespace {

/// The reply to one call on a store that sends these bytes on each connection.
store_reply reply_to(server_script script,
                     const std::function<void(store_client&, store_client::callback)>& call)
{
    const scripted_server server(std::move(script));
    process_metrics metrics;
    event_loop loop(metrics);
    platform::kv_store store(loop, *parse_endpoint(server.address()), {}, metrics);
    store_reply received;
    call(store, [&](store_reply reply) {
        received = std::move(reply);
        loop.request_stop();
    });
    loop.run();
    return received;
}

std::string with_length(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
}

} // namespace

// Without its identifier, keys would be written that never lapse.
TEST_CASE("a lease whose response is cut before its identifier is not open")
{
    constexpr std::string_view head = "HTTP/1.1 200 OK\r\n\r\n";
    constexpr std::string_view body = R"({"LeaseId":17,"Ttl":"10s"})";
    const auto open = [](store_client& store, store_client::callback on_reply) {
        store.open_session("n1", std::chrono::seconds(10), std::move(on_reply));
    };
    for (std::size_t size = 0; size < body.size(); ++size)
    {
        const std::string cut = std::string(head) + std::string(body.substr(0, size));
        CAPTURE(cut);
        CHECK(reply_to({{cut}, connection_end::close}, open).status_ == store_status::unavailable);
    }
    const std::string whole = std::string(head) + std::string(body);
    CHECK(reply_to({{whole}, connection_end::close}, open).text_ == "17");
}

// The notes on the pages that follow would be missing after a restart.
TEST_CASE("a list continues after a page whose items are all unreadable")
{
    const auto list = [](store_client& store, store_client::callback on_reply) {
        store.list("a/", std::move(on_reply));
    };
    const std::string unreadable =
        with_length(R"({"items":[{"Key":"a/1","Revision":3}],"HasMore":true,"At":5})");
    const std::string last = with_length(
        R"({"items":[{"Key":"a/2","Value":"eA==","Revision":4}],"HasMore":false,"At":5})");
    const store_reply reply = reply_to({{unreadable, last}}, list);
    CHECK(reply.status_ == store_status::ok);
    REQUIRE(reply.entries_.size() == 1);
    CHECK(reply.entries_.front().key_ == "a/2");
    const std::string endless = with_length(R"({"items":[],"HasMore":true,"At":5})");
    CHECK(reply_to({{endless}}, list).status_ == store_status::unavailable);
}

// A change between two pages was missing in the list, and the watch went on after it.
TEST_CASE("a watch goes on from the revision of the first page of its list")
{
    const auto read_current = [](store_client& store, store_client::callback on_reply) {
        store.watch("a/1", 0, std::chrono::seconds(1), std::move(on_reply));
    };
    const std::string first = with_length(
        R"({"items":[{"Key":"a/1","Value":"eA==","Revision":4}],"HasMore":true,"At":5})");
    const std::string last = with_length(
        R"({"items":[{"Key":"a/11","Value":"eA==","Revision":3}],"HasMore":false,"At":9})");
    const store_reply reply = reply_to({{first, last}}, read_current);
    CHECK(reply.status_ == store_status::ok);
    CHECK(reply.index_ == 5);
}

// Guards against values that end with a lease, and against removals of which the store refuses all.
TEST_CASE("lasting values outlive all leases and are removed 32 in a call")
{
    constexpr std::size_t count = 70;
    process_metrics metrics;
    event_loop loop(metrics);
    bamboohoist::testing::platform_store server(loop);
    REQUIRE(server.start());
    platform::kv_store store(loop, *parse_endpoint(server.address()), {}, metrics);
    std::vector<std::string> keys;
    std::size_t pending = count;
    for (std::size_t i = 0; i < count; ++i)
    {
        keys.push_back("a/" + std::to_string(i));
        store.write_lasting(keys.back(), "x", [&](const store_reply& reply) {
            CHECK(reply.status_ == store_status::ok);
            if (--pending == 0)
            {
                loop.request_stop();
            }
        });
    }
    loop.run();
    server.revoke_leases();
    CHECK(server.contains(keys.front()));
    CHECK(server.contains(keys.back()));
    const std::size_t calls_before = server.calls();
    store.remove_all(keys, [&](const store_reply& reply) {
        CHECK(reply.status_ == store_status::ok);
        loop.request_stop();
    });
    loop.run();
    CHECK(server.calls() == calls_before + 3);
    CHECK_FALSE(server.holds("a/", ""));
    server.stop();
}
