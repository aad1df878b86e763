#include "daemon/configuration.hpp"

#include "fakes/failing_store.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

/// Ignores what the configuration reports.
class ignoring_listener : public configuration_listener
{
public:
    void on_revision_adopted(const ref_ptr<const active_revision>&) override {}
    void on_store_regained() override {}
    void on_head_changed(const revision_head&) override {}
};

settings make_settings()
{
    settings made;
    made.node_ = "n1";
    made.region_ = "r1";
    made.domain_ = "z1";
    return made;
}

} // namespace

// A node that the store rejected called it twelve times a second: once for each change of members.
TEST_CASE("changes of members do not shorten the pause after a failed watch")
{
    system_clock clock;
    process_metrics metrics;
    event_loop loop(metrics);
    random_source random(1);
    const settings node_settings = make_settings();
    hybrid_logical_clock hybrid_clock(clock);
    event_log events(hybrid_clock, "n1", 64);
    const control_context context{node_settings, loop,         clock,  random,
                                  metrics,       hybrid_clock, events, default_deployment()};
    failing_store store(clock);
    control_link link(context);
    ignoring_listener listener;
    configuration config(context, link, store, listener);
    config.start();
    REQUIRE(store.watches() == 1);
    for (std::size_t members = 1; members <= 100; ++members)
    {
        config.set_watching(true, members);
    }
    CHECK(store.watches() == 1);
    config.stop();
}
