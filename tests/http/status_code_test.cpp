#include "fakes/scripted_server.hpp"
#include "harness/transfer.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

/// Statuses of three digits begin with 1 to 5 (RFC 9110, 15); larger ones are passed on.
constexpr std::array<std::string_view, 9> no_statuses{"000", "00",   "0",   "099", "199",
                                                      "-20", "1000", "abc", ""};

std::string make_answer(std::string_view status)
{
    return "HTTP/1.1 " + std::string(status) + " Trouble\r\nContent-Length: 2\r\n\r\nno";
}

transfer_result transfer_from(std::string answer, connection_end end)
{
    const scripted_server server({{std::move(answer)}, end});
    return run_transfer(make_transfer("POST", server.address()));
}

/// The ends of the transfers of requests that are sent one after the other with one client.
std::vector<transfer_result> transfer_all(const std::string& server, std::size_t requests)
{
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 1);
    std::vector<transfer_result> ended;
    std::function<void()> send_next;
    const auto on_end = [&](transfer_result result) {
        ended.push_back(std::move(result));
        ended.size() < requests ? send_next() : loop.request_stop();
    };
    send_next = [&] { client.start(make_transfer("POST", server), on_end); };
    send_next();
    loop.run();
    return ended;
}

} // namespace

// A target in trouble answered with the status 000, and the caller got that as an answer.
TEST_CASE("an answer with a status that is none is no response on a new connection")
{
    for (const std::string_view status : no_statuses)
    {
        CAPTURE(status);
        const transfer_result result = transfer_from(make_answer(status), connection_end::close);
        CHECK(result.end_ == transfer_end::lost);
        CHECK(result.response_.status_ == 0);
    }
}

TEST_CASE("an answer with a status that is none is no response on a used connection")
{
    for (const std::string_view status : no_statuses)
    {
        CAPTURE(status);
        const scripted_server server(
            {{make_answer("200"), make_answer(status)}, connection_end::close});
        const auto ended = transfer_all(server.address(), 2);
        REQUIRE(ended.size() == 2);
        CHECK(ended[0].end_ == transfer_end::complete);
        CHECK(ended[1].reused_connection_);
        CHECK(ended[1].end_ == transfer_end::lost);
        CHECK(ended[1].response_.status_ == 0);
    }
}

TEST_CASE("statuses of three digits above those in use are passed on")
{
    for (const std::string_view status : {"600", "999"})
    {
        CAPTURE(status);
        const transfer_result result = transfer_from(make_answer(status), connection_end::none);
        CHECK(result.end_ == transfer_end::complete);
        CHECK(std::to_string(result.response_.status_) == status);
    }
}
