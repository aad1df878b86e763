#include "harness/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

const region_map regions{{"lagos", {"ikeja", "lekki"}}, {"kano", {"nassarawa"}}};

json manifest_with(std::string_view service)
{
    return make_manifest({"ledger", service}, regions);
}

/// Three nodes, each in its own failure domain, with revision 1 accepted.
struct three_domains
{
    three_domains()
    {
        fleet_.add_node("n1", "lagos", "ikeja");
        fleet_.add_node("n2", "lagos", "lekki");
        fleet_.add_node("n3", "kano", "nassarawa");
        fleet_.wait_until_converged(3, 0);
        fleet_.apply(manifest_with("first"));
    }

    std::uint64_t revision_in_force(std::string_view node)
    {
        return fleet_.status(node)["in_force"];
    }

    bool wait_for_revision(std::string_view node, std::uint64_t revision, bool accepted = true)
    {
        return fleet_.wait_status(node, [&](const json& status) {
            return status["in_force"] >= revision && status["newest"]["accepted"] == accepted;
        });
    }

    fleet fleet_;
};

} // namespace

TEST_CASE("of two concurrent applies one is accepted and the other gets its author and reason")
{
    three_domains domains;
    json_reply replies[2];
    std::thread first(
        [&] { replies[0] = domains.fleet_.try_apply("n1", manifest_with("a"), 1, "ada"); });
    std::thread second(
        [&] { replies[1] = domains.fleet_.try_apply("n3", manifest_with("b"), 1, "bayo"); });
    first.join();
    second.join();
    const bool first_won = replies[0].body_["accepted"];
    CAPTURE(replies[0].body_.dump());
    CAPTURE(replies[1].body_.dump());
    CHECK(first_won != replies[1].body_["accepted"].get<bool>());
    const json& loser = replies[first_won ? 1 : 0].body_;
    CHECK(loser["error"] == "revision-conflict");
    const std::string winner = first_won ? "ada" : "bayo";
    CHECK(loser["detail"].get<std::string>().find(winner) != std::string::npos);
    CHECK(loser["detail"].get<std::string>().find("a test of " + winner) != std::string::npos);
    for (const char* node : {"n1", "n2", "n3"})
    {
        CHECK(domains.wait_for_revision(node, 2));
        CHECK(domains.fleet_.status(node)["newest"]["note"]["who"] == winner);
    }
}

TEST_CASE("a write whose reply is lost is decided by reading back")
{
    three_domains domains;
    domains.fleet_.set_store_fault({{"lose_replies", 200}});
    const json_reply reply = domains.fleet_.try_apply("n1", manifest_with("a"), 1);
    domains.fleet_.set_store_fault({{"lose_replies", 0}});
    // The replies to the chunk writes are lost too, so the node may give up. It must not report a
    // revision as accepted that is not.
    const json newest = domains.fleet_.status("n1")["newest"];
    if (reply.body_["accepted"])
    {
        CHECK(newest["revision"] == 2);
        CHECK(newest["accepted"] == true);
    }
    else
    {
        CHECK(newest["revision"] == 1);
        CHECK(domains.fleet_.try_apply("n1", manifest_with("a"), 1).body_["accepted"] == true);
    }
}

TEST_CASE(
    "a revision that a failure domain does not adopt is withdrawn unless the domain is waived")
{
    three_domains domains;
    domains.fleet_.node("n3").process_->signal(SIGSTOP);
    const json_reply reply = domains.fleet_.try_apply("n1", manifest_with("a"), 1);
    CHECK(reply.body_["accepted"] == false);
    CHECK(reply.body_["error"] == "not-accepted");
    CHECK(reply.body_["missing_domains"] == json::array({"nassarawa"}));
    CHECK(reply.body_["revision"] == 3);
    CHECK(domains.wait_for_revision("n2", 3));
    const json previous_manifest =
        json_call(domains.fleet_.node("n2").operators_, "GET", "/v1/manifest").body_;
    CHECK(previous_manifest["services"][1]["name"] == "first");

    const json_reply waived =
        domains.fleet_.try_apply("n1", manifest_with("b"), 3, "ada", {"nassarawa"});
    CHECK(waived.body_["accepted"] == true);
    domains.fleet_.node("n3").process_->signal(SIGCONT);
    CHECK(domains.wait_for_revision("n3", 4));
    const json current_manifest =
        json_call(domains.fleet_.node("n3").operators_, "GET", "/v1/manifest").body_;
    CHECK(current_manifest["services"][1]["name"] == "b");
}

TEST_CASE("without the store callers are served, nodes join through peers and nothing is accepted")
{
    three_domains domains;
    domains.fleet_.add_backend("ledger", "n1");
    domains.fleet_.set_store_fault({{"down", true}});
    const json known_peers = json::array({domains.fleet_.node("n1").gossip_});
    domains.fleet_.add_node("n4", "kano", "nassarawa", {{"known_peers", known_peers}});
    CHECK(domains.wait_for_revision("n4", 1));
    const json_reply refused = domains.fleet_.try_apply("n1", manifest_with("a"), 1);
    CHECK(refused.body_["error"] == "store-unavailable");
    request_message request;
    request.method_ = "GET";
    request.target_ = "/ledger";
    const system_clock clock;
    const instant end = clock.now() + std::chrono::seconds(10);
    auto response = http_call(domains.fleet_.node("n4").callers_, request);
    while (response && response->status_ != 200 && clock.now() < end)
    {
        wait_for_duration(std::chrono::milliseconds(50));
        response = http_call(domains.fleet_.node("n4").callers_, request);
    }
    REQUIRE(response);
    CHECK(response->status_ == 200);
}

TEST_CASE("after a restart of all nodes the newest revision is in force again")
{
    three_domains domains;
    for (std::uint64_t base = 1; base < 4; ++base)
    {
        REQUIRE(domains.fleet_.try_apply("n2", manifest_with("v" + std::to_string(base)), base)
                    .body_["accepted"] == true);
    }
    for (const char* node : {"n1", "n2", "n3"})
    {
        domains.fleet_.node(node).process_->kill();
    }
    for (const char* node : {"n1", "n2", "n3"})
    {
        domains.fleet_.restart_node(node);
    }
    for (const char* node : {"n1", "n2", "n3"})
    {
        CHECK(domains.wait_for_revision(node, 4));
        CHECK(domains.revision_in_force(node) == 4);
    }
}

TEST_CASE("a proposal whose coordinator died is withdrawn by another node")
{
    three_domains domains;
    domains.fleet_.node("n3").process_->signal(SIGSTOP);
    std::thread operators([&] {
        try
        {
            domains.fleet_.try_apply("n1", manifest_with("a"), 1);
        }
        catch (const std::exception&)
        {
            // The coordinator is killed during the call.
        }
    });
    CHECK(domains.wait_for_revision("n2", 2, false));
    domains.fleet_.node("n1").process_->kill();
    operators.join();
    domains.fleet_.node("n3").process_->signal(SIGCONT);
    const bool decided = domains.fleet_.wait_status(
        "n2", [](const json& status) { return status["newest"]["accepted"] == true; },
        std::chrono::seconds(40));
    CHECK(decided);
    CHECK(domains.fleet_.status("n2")["newest"]["withdraws"] == 2);
    CHECK(domains.fleet_.try_apply("n2", manifest_with("b"), 3, "bayo", {"ikeja"})
              .body_["accepted"] == true);
}
