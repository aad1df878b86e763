#include "daemon/target_registry.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

/// A registry and what it depends on, with a clock that the test sets.
struct registry_under_test
{
    manual_clock clock_;
    process_metrics metrics_;
    event_loop loop_{metrics_};
    random_source random_{1};
    settings settings_;
    hybrid_logical_clock hybrid_clock_{clock_};
    event_log events_{hybrid_clock_, "node", 64};
    control_context context_{settings_, loop_,         clock_,  random_,
                             metrics_,  hybrid_clock_, events_, default_deployment()};
    target_registry registry_{context_, [] {}};
};

local_target target(std::string_view instance, std::int64_t started_ms, std::uint64_t sequence)
{
    local_target made;
    made.id_ = "orders@10.0.0.1:80";
    made.service_ = "orders";
    made.address_ = "10.0.0.1:80";
    made.instance_ = std::string(instance);
    made.incarnation_ = std::string(instance) + "/" + std::to_string(started_ms);
    made.started_ms_ = started_ms;
    made.sequence_ = sequence;
    return made;
}

} // namespace

TEST_CASE("a late announcement does not clear the leaving state of its target")
{
    registry_under_test test;
    local_target leaving = target("i-1", 100, 5);
    leaving.leaving_ = true;
    test.registry_.announce(leaving);
    test.registry_.announce(target("i-1", 100, 4));
    CHECK(test.registry_.local_targets().front().leaving_);
    CHECK(test.metrics_.value(counter::announcements_stale) == 1);
}

TEST_CASE("a restart under the same name resets the leaving state despite lower sequence numbers")
{
    registry_under_test test;
    local_target leaving = target("i-1", 100, 50);
    leaving.leaving_ = true;
    test.registry_.announce(leaving);
    test.registry_.announce(target("i-1", 200, 1));
    CHECK_FALSE(test.registry_.local_targets().front().leaving_);
    test.registry_.announce(leaving);
    CHECK_FALSE(test.registry_.local_targets().front().leaving_);
}

TEST_CASE("an announcement that a partition held up does not bring back an ended target")
{
    registry_under_test test;
    test.registry_.announce(target("i-1", 100, 5));
    local_target deregistered;
    deregistered.instance_ = "i-1";
    test.registry_.deregister(deregistered);
    CHECK(test.registry_.local_targets().empty());
    test.registry_.announce(target("i-1", 100, 6));
    CHECK(test.registry_.local_targets().empty());
    test.registry_.announce(target("i-1", 300, 1));
    CHECK(test.registry_.local_targets().size() == 1);
}

TEST_CASE("an address belongs to the target that started there last")
{
    registry_under_test test;
    test.registry_.announce(target("i-1", 100, 5));
    local_target successor = target("i-2", 200, 1);
    successor.id_ = "stock@10.0.0.1:80";
    successor.service_ = "stock";
    test.registry_.announce(successor);
    REQUIRE(test.registry_.local_targets().size() == 1);
    CHECK(test.registry_.local_targets().front().service_ == "stock");
    test.registry_.announce(target("i-1", 100, 6));
    REQUIRE(test.registry_.local_targets().size() == 1);
    CHECK(test.registry_.local_targets().front().service_ == "stock");
}

TEST_CASE(
    "a departure from before the node's start rules out announcements that were sent before it")
{
    registry_under_test test;
    test.registry_.restore_departure({"i-1", 100, 5, false});
    test.registry_.announce(target("i-1", 100, 5));
    CHECK(test.registry_.local_targets().empty());
    local_target leaving = target("i-1", 100, 6);
    leaving.leaving_ = true;
    test.registry_.announce(leaving);
    REQUIRE(test.registry_.local_targets().size() == 1);
    CHECK(test.registry_.local_targets().front().leaving_);
    test.registry_.announce(target("i-1", 200, 1));
    CHECK_FALSE(test.registry_.local_targets().front().leaving_);
}

TEST_CASE("a departure that becomes known late removes the target that was announced meanwhile")
{
    registry_under_test test;
    test.registry_.announce(target("i-1", 100, 4));
    test.registry_.restore_departure({"i-1", 100, 9, true});
    CHECK(test.registry_.local_targets().empty());
    test.registry_.announce(target("i-2", 200, 1));
    test.registry_.restore_departure({"i-1", 100, 9, true});
    CHECK(test.registry_.local_targets().size() == 1);
}

// Guards against a late announcement that counts because the leaving target was forgotten with its
// announcement.
TEST_CASE(
    "a leaving target whose announcement has lapsed does not come back by a late announcement")
{
    registry_under_test test;
    local_target leaving = target("i-1", 100, 5);
    leaving.leaving_ = true;
    test.registry_.announce(leaving);
    test.registry_.remove("orders@10.0.0.1:80", "its announcement was not renewed");
    test.registry_.announce(target("i-1", 100, 4));
    CHECK(test.registry_.local_targets().empty());
}

// Guards against a late announcement of a start that the node had not heard of when it acknowledged
// the end of its instance (review/11, DRAIN).
TEST_CASE("an end that names no start covers one that was not heard of, and the starts before")
{
    registry_under_test test;
    local_target ended;
    ended.instance_ = "i-1";
    SUBCASE("of an instance that is not known") {}
    SUBCASE("of an instance whose last announcement is some time ago")
    {
        test.registry_.announce(target("i-1", 100, 5));
        test.clock_.advance(std::chrono::seconds(4));
    }
    const std::int64_t ended_ms = test.clock_.wall_ms();
    const departed_instance noted = test.registry_.deregister(ended).departed_;
    CHECK(noted.latest_start_ms_ == ended_ms);
    // The target repeats the call, since it has got no reply.
    test.clock_.advance(std::chrono::seconds(1));
    CHECK(test.registry_.deregister(ended).departed_.latest_start_ms_ == ended_ms);
    test.registry_.announce(target("i-1", ended_ms - 500, 1));
    CHECK(test.registry_.local_targets().empty());
    test.registry_.announce(target("i-1", ended_ms + 60'000, 1));
    CHECK(test.registry_.local_targets().size() == 1);
    // The end of the new start is another one, and says which start it is.
    CHECK(test.registry_.deregister(ended).departed_.started_ms_ == ended_ms + 60'000);
    // A node that has the note only after it has used the target takes it out of use.
    registry_under_test successor;
    successor.registry_.announce(target("i-1", ended_ms - 500, 1));
    successor.registry_.restore_departure(noted);
    CHECK(successor.registry_.local_targets().empty());
}

// Guards against a further note for each target, and a late use of the next start, because targets
// announce their end twice: when they leave and when they exit.
TEST_CASE("an end that is announced again does not put the next start in doubt")
{
    registry_under_test test;
    test.registry_.announce(target("i-1", 100, 5));
    local_target ended;
    ended.instance_ = "i-1";
    const departed_instance first = test.registry_.deregister(ended).departed_;
    CHECK(first.started_ms_ == 100);
    CHECK(first.latest_start_ms_ == 0);
    test.clock_.advance(std::chrono::milliseconds(2700));
    const departed_instance second = test.registry_.deregister(ended).departed_;
    CHECK(second.started_ms_ == 100);
    CHECK(second.latest_start_ms_ == 0);
    test.registry_.announce(target("i-1", 200, 1));
    CHECK(test.registry_.local_targets().size() == 1);
}
