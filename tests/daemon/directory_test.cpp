#include "daemon/directory.hpp"

#include "fakes/failing_store.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr duration test_limit = std::chrono::seconds(10);

/// Ignores what membership reports.
class ignoring_listener : public membership_listener
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

settings make_settings()
{
    settings made;
    made.node_ = "n1";
    made.region_ = "r1";
    made.domain_ = "z1";
    return made;
}

/// The directory of a node that knows no peer, and whose store returns only errors.
struct directory_under_test
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
    failing_store store_{clock_};
    ignoring_listener membership_events_;
    control_link link_{context_};
    membership members_{context_, link_, membership_events_};
    directory directory_{context_, store_, members_, [] {}};

    ~directory_under_test()
    {
        directory_.stop();
    }

    /// Runs the loop until the entries were read this often; false when they weren't in time.
    bool run_until_listed(std::size_t count)
    {
        timer poll(loop_, [&] {
            if (store_.listed_at().size() >= count)
            {
                loop_.request_stop();
            }
        });
        timer limit(loop_, [this] { loop_.request_stop(); });
        poll.repeat(std::chrono::milliseconds(5));
        limit.arm(test_limit);
        loop_.run();
        return store_.listed_at().size() >= count;
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
