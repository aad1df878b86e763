#include "http/http_client.hpp"

#include "fakes/single_response_server.hpp"
#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bamboohoist;
using bamboohoist::testing::single_response_server;

namespace {

/// A listening port whose accept queue is full, so that no further connection is established.
class unresponsive_port
{
public:
    unresponsive_port() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        REQUIRE(bound == 0);
        const int listening = ::listen(listener_, 0);
        REQUIRE(listening == 0);
        socklen_t length = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
        for (int& fd : fillers_)
        {
            fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            const int begun =
                ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
            CHECK((begun == 0 || errno == EINPROGRESS));
        }
    }

    ~unresponsive_port()
    {
        for (const int fd : fillers_)
        {
            ::close(fd);
        }
        ::close(listener_);
    }

    std::string server() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    int listener_;
    int fillers_[4] = {};
    std::uint16_t port_ = 0;
};

} // namespace

TEST_CASE("connections that are never established cause no reactor errors")
{
    constexpr int transfers = 200;
    const unresponsive_port port;
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, transfers);
    int ended = 0;
    for (int i = 0; i < transfers; ++i)
    {
        transfer_request request;
        request.server_ = port.server();
        request.message_.method_ = "GET";
        request.message_.target_ = "/";
        request.timeout_ = std::chrono::milliseconds(20 + i);
        client.start(std::move(request), [&](const transfer_result& result) {
            CHECK(result.end_ == transfer_end::connect_timed_out);
            ended += 1;
            if (ended == transfers)
            {
                loop.request_stop();
            }
        });
    }
    loop.run();
    CHECK(ended == transfers);
    CHECK(metrics.value(counter::reactor_errors) == 0);
}

namespace {

/// Sends two requests one after the other and returns the end of the second.
transfer_end second_end(bool repeatable)
{
    const single_response_server server;
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 2);
    const auto make_request = [&] {
        transfer_request request;
        request.server_ = server.address();
        request.message_.method_ = "GET";
        request.message_.target_ = "/";
        request.timeout_ = std::chrono::seconds(5);
        request.repeatable_ = repeatable;
        return request;
    };
    transfer_end last = transfer_end::refused;
    client.start(make_request(), [&](const transfer_result& first) {
        CHECK(first.end_ == transfer_end::complete);
        client.start(make_request(), [&](const transfer_result& second) {
            last = second.end_;
            loop.request_stop();
        });
    });
    loop.run();
    return last;
}

} // namespace

TEST_CASE("only a repeatable request is sent again when its reused connection is dead")
{
    CHECK(second_end(false) == transfer_end::lost);
    CHECK(second_end(true) == transfer_end::complete);
}
