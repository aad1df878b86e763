#include "daemon/stop_plan_executor.hpp"

#include "fakes/failing_store.hpp"
#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr duration test_limit = std::chrono::seconds(5);
constexpr std::string_view drained = "orders@10.0.0.1:80";

class ignoring_members : public membership_listener
{
public:
    void on_members_changed() override {}
    void on_peer_revision(std::uint64_t, bool, const endpoint&) override {}
    void on_in_force_report(const domain_member&, std::uint64_t) override {}
    void on_remote_crash(std::string_view, std::string_view,
                         std::span<const std::uint64_t>) override
    {
    }
};

class ignoring_configuration : public configuration_listener
{
public:
    void on_revision_adopted(const ref_ptr<const active_revision>&) override {}
    void on_revision_known(std::uint64_t) override {}
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

/// The executor of a node with one target and with a clock that the test sets.
struct executor_under_test
{
    manual_clock clock_;
    process_metrics metrics_;
    event_loop loop_{metrics_};
    random_source random_{1};
    settings settings_ = make_settings();
    hybrid_logical_clock hybrid_clock_{clock_};
    event_log events_{hybrid_clock_, "n1", 64};
    control_context context_{settings_, loop_,         clock_,  random_,
                             metrics_,  hybrid_clock_, events_, default_deployment()};
    failing_store store_{clock_};
    ignoring_members member_events_;
    ignoring_configuration configuration_events_;
    control_link link_{context_};
    membership members_{context_, link_, member_events_};
    configuration config_{context_, link_, store_, configuration_events_};
    target_registry targets_{context_, [] {}};
    stop_plan_executor executor_{context_, members_, config_, targets_};

    ~executor_under_test()
    {
        members_.stop();
        link_.stop();
    }

    void drain()
    {
        executor_.request_drain(drained, false, {});
    }

    /// Runs the loop until this node knows the fleet, which its clock lets it in time.
    bool run_until_fleet_known()
    {
        timer poll(loop_, [this] {
            clock_.advance(std::chrono::milliseconds(200));
            if (members_.knows_fleet())
            {
                loop_.request_stop();
            }
        });
        timer limit(loop_, [this] { loop_.request_stop(); });
        poll.repeat(std::chrono::milliseconds(20));
        limit.arm(test_limit);
        loop_.run();
        return members_.knows_fleet();
    }
};

} // namespace

// Guards against a started node that stops its target by the floor of the few nodes that it has
// heard of, while others do the same.
TEST_CASE("a node that doesn't know the fleet stops no target of its own accord")
{
    executor_under_test test;
    REQUIRE(test.link_.start());
    REQUIRE(test.members_.start());
    local_target target;
    target.id_ = std::string(drained);
    target.service_ = "orders";
    test.targets_.announce(target);
    test.drain();
    test.clock_.advance(std::chrono::seconds(1));
    test.drain();
    CHECK_FALSE(test.targets_.is_stopped(drained));
    test.members_.on_listed(0, false);
    REQUIRE(test.run_until_fleet_known());
    test.drain();
    CHECK(test.targets_.is_stopped(drained));
}
