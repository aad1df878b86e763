#include "daemon/directory.hpp"

#include "fakes/failing_store.hpp"
#include "fakes/ignoring_listener.hpp"
#include "fakes/recording_store.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr duration test_limit = std::chrono::seconds(10);

settings make_settings()
{
    settings made;
    made.node_ = "n1";
    made.region_ = "r1";
    made.domain_ = "z1";
    return made;
}

template <typename Store>
Store make_store(const clock_source& clock)
{
    if constexpr (std::is_constructible_v<Store, const clock_source&>)
    {
        return Store(clock);
    }
    else
    {
        return Store();
    }
}

/// The directory of a node that knows no peer, and its store.
template <typename Store>
struct directory_with
{
    system_clock clock_;
    process_metrics metrics_;
    event_loop loop_{metrics_};
    random_source random_{1};
    settings settings_ = make_settings();
    hybrid_logical_clock hybrid_clock_{clock_};
    event_log events_{hybrid_clock_, "n1", 64};
    control_context context_{settings_, loop_,         clock_,  random_,
                             metrics_,  hybrid_clock_, events_, default_deployment()};
    Store store_ = make_store<Store>(clock_);
    ignoring_listener membership_events_;
    control_link link_{context_};
    membership members_{context_, link_, membership_events_};
    directory directory_{context_, store_, members_};

    ~directory_with()
    {
        directory_.stop();
    }

    /// Runs the loop until the condition holds; false when it doesn't in time.
    bool run_until(const std::function<bool()>& condition)
    {
        timer poll(loop_, [&] {
            if (condition())
            {
                loop_.request_stop();
            }
        });
        timer limit(loop_, [this] { loop_.request_stop(); });
        poll.repeat(std::chrono::milliseconds(5));
        limit.arm(test_limit);
        loop_.run();
        return condition();
    }
};

/// The store returns only errors.
struct directory_under_test : directory_with<failing_store>
{
    /// Runs the loop until the entries were read this often; false when they weren't in time.
    bool run_until_listed(std::size_t count)
    {
        return run_until([&] { return store_.listed_at().size() >= count; });
    }
};

/// The store opens sessions and records entries.
struct listed_directory : directory_with<recording_store>
{
    listed_directory()
    {
        directory_.start();
        store_.answer_writes(store_status::ok);
    }

    std::vector<recorded_write> entries() const
    {
        return store_.writes(node_prefix);
    }
};

} // namespace

// Guards against 660 nodes asking a store that returns only errors twice a second each.
TEST_CASE("the entries are read less and less often while the store returns errors")
{
    directory_under_test test;
    test.directory_.start();
    REQUIRE(test.run_until_listed(4));
    const std::span<const instant> listed_at = test.store_.listed_at();
    CHECK(listed_at[2] - listed_at[1] >= std::chrono::milliseconds(700));
    CHECK(listed_at[3] - listed_at[2] >= std::chrono::milliseconds(1400));
}

// Guards against a node that finds its peers seconds after the store has come back.
TEST_CASE("the entries are read at once when the store replies again")
{
    directory_under_test test;
    test.directory_.start();
    REQUIRE(test.run_until_listed(4));
    const instant regained = test.clock_.now();
    test.directory_.on_store_regained();
    REQUIRE(test.run_until_listed(5));
    CHECK(test.store_.listed_at()[4] - regained < std::chrono::milliseconds(1200));
}

// Guards against a node without an entry for up to four minutes, until its lease is renewed.
TEST_CASE("after the store was restored the entry is written again under a new session")
{
    listed_directory test;
    REQUIRE(test.entries().size() == 1);
    test.directory_.on_writes_lost();
    // The former session may be another node's by now.
    CHECK(test.directory_.session().empty());
    const instant notified = test.clock_.now();
    REQUIRE(test.run_until([&] { return test.entries().size() == 2; }));
    CHECK(test.entries()[1].session_ == "session-2");
    CHECK(test.entries()[1].value_ == test.entries()[0].value_);
    CHECK(test.clock_.now() - notified < std::chrono::milliseconds(1000));
}

// Guards against the check after an outage, which finds the entry of the copy and leaves it at
// that.
TEST_CASE("a check of the entry does not replace the new session after the store was restored")
{
    listed_directory test;
    test.directory_.on_writes_lost();
    test.directory_.on_store_regained();
    REQUIRE(test.run_until([&] { return test.entries().size() == 2; }));
    CHECK(test.directory_.session() == "session-2");
}

// Guards against a step begun before the restoration that goes on with the session of then.
TEST_CASE("the reply to a step from before the store was restored is ignored")
{
    directory_with<recording_store> test;
    test.directory_.start();
    REQUIRE(test.store_.writes(node_prefix).size() == 1);
    test.directory_.on_writes_lost();
    test.store_.answer_writes(store_status::unavailable);
    REQUIRE(test.run_until([&] { return test.store_.writes(node_prefix).size() == 2; }));
    CHECK(test.store_.sessions() == 2);
}

TEST_CASE("a node that has left removes its entry from the restored store, too")
{
    listed_directory test;
    test.directory_.remove_entry();
    const std::size_t removed = test.store_.removals();
    test.directory_.on_writes_lost();
    CHECK(test.store_.removals() == removed + 1);
    CHECK(test.entries().size() == 1);
}
