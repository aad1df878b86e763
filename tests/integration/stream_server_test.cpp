#include "loop/event_loop.hpp"
#include "wire/peer_link.hpp"
#include "wire/stream_server.hpp"

#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace bamboohoist;

namespace {

stream_message make_call(std::size_t body_bytes = 0)
{
    stream_message message;
    message.fields_ = {
        {":method", "POST"}, {":scheme", "http"}, {":authority", "test"}, {":path", "/"}};
    message.body_ = std::string(body_bytes, 'b');
    return message;
}

/// A server that responds to every call, and a client, on an event loop with its own thread.
class connected_pair
{
public:
    explicit connected_pair(std::size_t memory_bytes = memory_account::unlimited)
        : memory_(memory_bytes), server_(loop_, "server", endpoint{"127.0.0.1", 0},
                                         [](const stream_call_ptr& call) { on_call(call); })
    {
        REQUIRE(server_.start());
        link_ = std::make_unique<peer_link>(loop_, endpoint{"127.0.0.1", server_.port()});
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~connected_pair()
    {
        run([this] {
            link_.reset();
            server_.stop();
        });
        loop_.request_stop();
        thread_.join();
    }

    connected_pair(const connected_pair&) = delete;
    connected_pair& operator=(const connected_pair&) = delete;

    void run(const std::function<void()>& task)
    {
        std::promise<void> done;
        loop_.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    call_result call(std::size_t body_bytes = 0)
    {
        std::promise<call_result> ended;
        loop_.post([&] {
            link_->call(make_call(body_bytes),
                        [&](call_result result) { ended.set_value(std::move(result)); });
        });
        return ended.get_future().get();
    }

    stream_server& server()
    {
        return server_;
    }

private:
    static void on_call(const stream_call_ptr& call)
    {
        stream_message reply;
        reply.fields_ = {{":status", call->message().body_dropped_ ? "503" : "200"},
                         {"size", std::to_string(call->message().body_.size())}};
        call->respond(std::move(reply));
    }

    process_metrics metrics_;
    memory_account memory_;
    event_loop loop_{metrics_, &memory_};
    stream_server server_;
    std::unique_ptr<peer_link> link_;
    std::thread thread_;
};

} // namespace

// Guards against requests whose outcome is unknown to the sending node, and which it may therefore
// not repeat, although the node that they reached ended without reading them.
TEST_CASE("calls to a server that is about to end are known not to have been processed")
{
    connected_pair pair;
    REQUIRE(pair.call().response_);
    pair.run([&] { pair.server().refuse_new_calls(); });
    const call_result refused = pair.call();
    CHECK_FALSE(refused.response_);
    CHECK(refused.failure_ != call_failure::lost);
}

// Guards against a peer whose bodies fill up the memory of a node, and against a request that is
// passed on without its body.
TEST_CASE("a message whose body does not fit into memory arrives without it and says so")
{
    connected_pair pair(400'000);
    const auto status_of = [&](std::size_t body_bytes) {
        const call_result result = pair.call(body_bytes);
        return result.response_
                   ? std::string(find_header(result.response_->fields_, ":status").value_or(""))
                   : "no response";
    };
    CHECK(status_of(300'000) == "503");
    CHECK(status_of(16'000) == "200");
    CHECK(status_of(100'000) == "200");
}
