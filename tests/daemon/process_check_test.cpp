#include "daemon/process_check.hpp"

#include "fakes/scripted_server.hpp"

#include <doctest/doctest.h>
#include <optional>

using namespace bamboohoist;
using bamboohoist::testing::connection_end;
using bamboohoist::testing::scripted_server;
using bamboohoist::testing::server_script;

namespace {

/// What two checks of this address that begin together report.
std::vector<process_state> check_twice(std::string_view address)
{
    process_metrics metrics;
    event_loop loop(metrics);
    process_check check(loop);
    std::vector<process_state> states;
    const auto on_checked = [&](process_state state) {
        states.push_back(state);
        if (states.size() == 2)
        {
            CHECK_FALSE(check.is_running());
            loop.request_stop();
        }
    };
    check.start(*parse_endpoint(address), on_checked);
    check.start(*parse_endpoint(address), on_checked);
    CHECK(check.is_running());
    loop.run();
    return states;
}

const std::vector<process_state> lives{process_state::alive, process_state::alive};
const std::vector<process_state> has_ended{process_state::ended, process_state::ended};

} // namespace

TEST_CASE("a process that keeps a connection open lives")
{
    const scripted_server server({{}, connection_end::none});
    CHECK(check_twice(server.address()) == lives);
}

// Such a target was reported as crashed, and its requests as suspects.
TEST_CASE("a process that resets or closes each connection at once lives")
{
    for (const connection_end end : {connection_end::reset, connection_end::close})
    {
        const scripted_server server({{}, end});
        CHECK(check_twice(server.address()) == lives);
    }
}

TEST_CASE("a process that closes a connection with its listening socket has ended")
{
    const scripted_server server({{}, connection_end::process_end});
    CHECK(check_twice(server.address()) == has_ended);
}

// The first part of an answer whose target ended during the check of another was taken for whole.
TEST_CASE("a check that joins one of a living process looks again")
{
    std::optional<scripted_server> server(std::in_place, server_script{{}, connection_end::none});
    const endpoint address = *parse_endpoint(server->address());
    process_metrics metrics;
    event_loop loop(metrics);
    process_check check(loop);
    process_state first = process_state::unknown;
    process_state second = process_state::unknown;
    check.start(address, [&](process_state state) {
        first = state;
        server.reset();
    });
    loop.post([&] {
        check.start(address, [&](process_state state) {
            second = state;
            loop.request_stop();
        });
    });
    loop.run();
    CHECK(first == process_state::alive);
    CHECK(second == process_state::ended);
}

TEST_CASE("a process has ended when nothing listens at its address")
{
    std::string address;
    {
        const scripted_server server({{}, connection_end::none});
        address = server.address();
    }
    CHECK(check_twice(address) == has_ended);
}
