#include "harness/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

json manifest_of(const char* second_service)
{
    return make_manifest({"ledger", second_service},
                         {{"lagos", {"ikeja", "lekki"}}, {"london", {"slough", "hayes"}}});
}

/// Two regions of two nodes, each node with a backend server. Every link between the regions has
/// its own path through the fault-injecting proxy.
struct two_regions
{
    two_regions()
    {
        add("a1", "lagos", "ikeja", make_paths({"b1", "b2"}));
        add("a2", "lagos", "lekki", make_paths({"b1", "b2"}));
        add("b1", "london", "slough", make_paths({"a1", "a2"}));
        add("b2", "london", "hayes", make_paths({"a1", "a2"}));
        for (const proxied_path& path : paths_)
        {
            const node_process& to = fleet_.node(path.to_);
            fleet_.set_path(path.port_, {{"server", path.gossip_ ? to.gossip_ : to.peers_}});
        }
        fleet_.wait_until_converged(4, 4);
        fleet_.apply(manifest_of("first"));
    }

    void set_split(bool separated)
    {
        for (const proxied_path& path : paths_)
        {
            const json fault{{"black_hole", separated}};
            fleet_.set_path(path.port_, {{"forward", fault}, {"backward", fault}});
        }
    }

    bool wait_for_state(std::string_view node, std::string_view other, std::string_view state)
    {
        return fleet_.wait_status(
            node,
            [&](const json& status) {
                for (const json& entry : status["nodes"])
                {
                    if (entry["node"] == other)
                    {
                        return entry["state"] == state;
                    }
                }
                return false;
            },
            std::chrono::seconds(20));
    }

    background_load start_load(std::string_view node, double seconds)
    {
        load_plan plan = make_load_plan(std::vector<std::string>{fleet_.node(node).callers_},
                                        "/ledger/{n}", 100, seconds);
        plan.resends_ = 3;
        return background_load(plan, 5);
    }

    fleet fleet_;

private:
    struct proxied_path
    {
        std::string to_;
        bool gossip_;
        int port_;
    };

    json make_paths(std::initializer_list<const char*> nodes)
    {
        json paths = json::array();
        for (const char* to : nodes)
        {
            json path{{"node", to}};
            for (const bool gossip : {true, false})
            {
                const int port = fleet_.make_path({{"server", "127.0.0.1:1"}});
                paths_.push_back({to, gossip, port});
                path[gossip ? "gossip" : "peers"] = "127.0.0.1:" + std::to_string(port);
            }
            paths.push_back(path);
        }
        return paths;
    }

    void add(const char* node, const char* region, const char* domain, const json& paths)
    {
        fleet_.add_node(node, region, domain, {{"paths", paths}});
        fleet_.add_backend("ledger", node);
    }

    std::vector<proxied_path> paths_;
};

} // namespace

TEST_CASE("separated regions keep serving, accept no revision in one region only, and merge again")
{
    two_regions regions;
    background_load lagos = regions.start_load("a1", 14.0);
    background_load london = regions.start_load("b1", 14.0);
    wait_for_duration(std::chrono::seconds(2));
    regions.set_split(true);
    CHECK(regions.wait_for_state("a1", "b1", "dead"));
    CHECK(regions.wait_for_state("b2", "a2", "dead"));

    // Both regions reach the platform's store. A revision is distributed through it, and is
    // accepted only because it is in force in both regions.
    const json reply = regions.fleet_.try_apply("a1", manifest_of("orders"), 1).body_;
    CHECK(reply["accepted"] == true);
    CHECK(regions.fleet_.status("b1")["in_force"] == 2);

    // A region that has lost the store too cannot put a revision into force alone.
    regions.fleet_.set_store_fault({{"down", true}});
    const json refused = regions.fleet_.try_apply("a1", manifest_of("certs"), 2).body_;
    CHECK(refused["accepted"] == false);
    regions.fleet_.set_store_fault({{"down", false}});

    // A node that leaves during the separation has still left after it.
    regions.fleet_.node("b2").process_->signal(SIGTERM);
    CHECK(regions.wait_for_state("b1", "b2", "left"));
    regions.set_split(false);
    CHECK(regions.wait_for_state("a1", "b1", "alive"));
    CHECK(regions.wait_for_state("b1", "a2", "alive"));
    CHECK(regions.wait_for_state("a2", "b2", "left"));

    const load_result in_lagos = lagos.finish();
    const load_result in_london = london.finish();
    CAPTURE(json(in_lagos.errors_).dump() + json(in_london.errors_).dump());
    CHECK(in_lagos.outcomes_.at(load_outcome::complete) == 1400);
    CHECK(in_london.outcomes_.at(load_outcome::complete) == 1400);
}
