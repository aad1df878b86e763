#include "daemon/configuration.hpp"

#include "fakes/document_store.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr duration test_limit = std::chrono::seconds(5);

/// Records the revisions that are adopted.
class recording_listener : public configuration_listener
{
public:
    void on_revision_adopted(const ref_ptr<const active_revision>&) override {}
    void on_store_regained() override {}
    void on_revision_known(std::uint64_t) override {}

    void on_head_changed(const revision_head& head) override
    {
        heads_.push_back(head.revision_);
    }

    std::vector<std::uint64_t> heads_;
};

settings make_settings()
{
    settings made;
    made.node_ = "n1";
    made.region_ = "r1";
    made.domain_ = "z1";
    return made;
}

std::string make_manifest(std::string_view service)
{
    return R"({"regions":[{"name":"r1","domains":["z1"]}],"services":[{"name":")" +
           std::string(service) + "\"}]}";
}

/// The configuration of a node whose store the test answers.
struct configuration_under_test
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
    document_store store_;
    recording_listener listener_;
    control_link link_{context_};
    configuration config_{context_, link_, store_, listener_};

    ~configuration_under_test()
    {
        config_.stop();
    }

    /// Answers the watch, and waits until the next one begins.
    void show(std::uint64_t revision, std::string_view service, std::uint64_t index)
    {
        store_.answer_watch(revision, make_manifest(service), index);
        wait_for_watch();
    }

    void wait_for_watch()
    {
        timer poll(loop_, [this] {
            if (store_.watched())
            {
                loop_.request_stop();
            }
        });
        timer limit(loop_, [this] { loop_.request_stop(); });
        poll.repeat(std::chrono::milliseconds(5));
        limit.arm(test_limit);
        loop_.run();
        REQUIRE(store_.watched());
    }
};

} // namespace

// Guards against a watch that goes on after an index which the restored store issues again for
// another value: the change with that index would never be seen.
TEST_CASE("after the store was restored the configuration is read anew instead of watched from "
          "the index before")
{
    configuration_under_test test;
    test.config_.start();
    test.show(5, "orders", 120);
    REQUIRE(test.store_.watched_from() == std::vector<std::uint64_t>{0, 120});
    test.store_.answer_watch(5, make_manifest("orders"), 121);
    // The notification comes between the reply and the next watch.
    test.config_.on_writes_lost();
    test.wait_for_watch();
    CHECK(test.store_.watched_from() == std::vector<std::uint64_t>{0, 120, 0});
}

TEST_CASE("an older revision of the restored store stays out of force until a newer one is written")
{
    configuration_under_test test;
    test.config_.start();
    test.show(5, "orders", 120);
    test.config_.on_writes_lost();
    test.show(4, "ledger", 110);
    CHECK(test.config_.head().revision_ == 5);
    CHECK(test.config_.manifest_text().find("orders") != std::string::npos);
    const auto events = test.events_.select({}, "");
    CHECK(std::ranges::any_of(
        events, [](const event& entry) { return entry.what_ == "stays out of force"; }));
    // The operator writes again: the index repeats one that stood for another value before.
    test.show(6, "crates", 120);
    CHECK(test.config_.head().revision_ == 6);
    CHECK(test.config_.manifest_text().find("crates") != std::string::npos);
    CHECK(test.listener_.heads_ == std::vector<std::uint64_t>{5, 6});
}

// A node that the store rejected called it twelve times a second: once for each change of members.
TEST_CASE("changes of members do not shorten the pause after a failed watch")
{
    configuration_under_test test;
    test.config_.start();
    test.store_.fail_watch();
    for (std::size_t members = 1; members <= 100; ++members)
    {
        test.config_.set_watching(true, members);
    }
    CHECK(test.store_.watched_from().size() == 1);
    test.wait_for_watch();
    CHECK(test.store_.watched_from().size() == 2);
}
