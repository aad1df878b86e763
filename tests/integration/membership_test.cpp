#include "harness/fleet.hpp"
#include "wire/endpoint.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

std::string state_of(const json& status, std::string_view node)
{
    for (const json& entry : status["nodes"])
    {
        if (entry["node"] == node)
        {
            return entry["state"];
        }
    }
    return "absent";
}

/// Makes sure that another program uses a port: listens on it, unless a test that runs beside this
/// one has it already.
class port_holder
{
public:
    explicit port_holder(const endpoint& held) : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto address = to_socket_address(held);
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&*address), sizeof *address);
        const bool in_use = bound != 0 && errno == EADDRINUSE;
        REQUIRE((bound == 0 || in_use));
        REQUIRE((in_use || ::listen(listener_, 1) == 0));
    }

    ~port_holder()
    {
        ::close(listener_);
    }

    port_holder(const port_holder&) = delete;
    port_holder& operator=(const port_holder&) = delete;

private:
    int listener_;
};

bool reaches_state(fleet& started, std::string_view seen_by, std::string_view node,
                   std::string_view state, duration timeout)
{
    return started.wait_status(
        seen_by, [&](const json& status) { return state_of(status, node) == state; }, timeout);
}

} // namespace

// Guards against a restart that fails because another program got a port of the stopped node.
TEST_CASE("a node restarts on its addresses although another program uses a port of that number")
{
    fleet started;
    started.add_node("n1", "lagos", "ikeja");
    const std::uint16_t port = parse_endpoint(started.node("n1").announce_)->port_;
    started.node("n1").process_->kill();
    const port_holder other({"127.0.0.1", port});
    CHECK_NOTHROW(started.restart_node("n1"));
}

TEST_CASE("other nodes know of a crash, a departure and a return within seconds")
{
    fleet started;
    for (const char* node : {"n1", "n2", "n3", "n4"})
    {
        started.add_node(node, "lagos", "ikeja");
    }
    started.wait_until_converged(4, 0);
    started.node("n4").process_->kill();
    CHECK(reaches_state(started, "n1", "n4", "dead", std::chrono::seconds(10)));
    CHECK(reaches_state(started, "n3", "n4", "dead", std::chrono::seconds(5)));
    started.restart_node("n4");
    CHECK(reaches_state(started, "n1", "n4", "alive", std::chrono::seconds(5)));
    started.node("n3").process_->signal(SIGTERM);
    CHECK(reaches_state(started, "n1", "n3", "left", std::chrono::seconds(3)));
    CHECK(reaches_state(started, "n2", "n3", "left", std::chrono::seconds(3)));
}

TEST_CASE(
    "a node with one broken link is not declared dead, and requests are routed around the link")
{
    fleet started;
    const int gossip = started.make_path({{"server", "127.0.0.1:1"}});
    const int peers = started.make_path({{"server", "127.0.0.1:1"}});
    const json paths = json::array({{{"node", "n2"},
                                     {"gossip", "127.0.0.1:" + std::to_string(gossip)},
                                     {"peers", "127.0.0.1:" + std::to_string(peers)}}});
    started.add_node("n2", "lagos", "ikeja");
    started.set_path(gossip, {{"server", started.node("n2").gossip_}});
    started.set_path(peers, {{"server", started.node("n2").peers_}});
    started.add_node("n1", "lagos", "ikeja", {{"paths", paths}});
    started.add_node("n3", "lagos", "ikeja");
    started.add_backend("ledger", "n2");
    started.add_backend("ledger", "n3");
    started.wait_until_converged(3, 2);
    started.apply(make_manifest({"ledger"}, {{"lagos", {"ikeja"}}}));

    // Nothing from n1 arrives at n2; the opposite direction and all other links work.
    started.set_path(gossip, {{"forward", {{"black_hole", true}}}});
    started.set_path(peers, {{"forward", {{"black_hole", true}}}});
    load_plan plan =
        make_load_plan(std::vector<std::string>{started.node("n1").callers_}, "/ledger/{n}", 50, 8);
    plan.resends_ = 3;
    const load_result result = background_load(plan, 3).finish();
    CAPTURE(json(result.errors_).dump());
    CHECK(result.outcomes_.at(load_outcome::complete) == 400);
    for (const char* node : {"n1", "n3"})
    {
        CHECK(state_of(started.status(node), "n2") != "dead");
    }
}

TEST_CASE("a frozen node is declared dead and returns by itself when it resumes")
{
    fleet started;
    for (const char* node : {"n1", "n2", "n3"})
    {
        started.add_node(node, "lagos", "ikeja");
    }
    started.wait_until_converged(3, 0);
    started.node("n2").process_->signal(SIGSTOP);
    CHECK(reaches_state(started, "n1", "n2", "dead", std::chrono::seconds(12)));
    started.node("n2").process_->signal(SIGCONT);
    CHECK(reaches_state(started, "n1", "n2", "alive", std::chrono::seconds(15)));
    CHECK(reaches_state(started, "n2", "n1", "alive", std::chrono::seconds(15)));
}
