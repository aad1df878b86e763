#include "platform/kv_store.hpp"

#include "fakes/holding_store_server.hpp"
#include "stand_in/platform_store.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::holding_store_server;
using bamboohoist::testing::platform_store;

namespace {

/// Records the increases of the era, and how many replies had come by then.
class recording_listener : public store_listener
{
public:
    void on_writes_lost(const store_era_change& change) override
    {
        changes_.push_back({change.former_, change.present_});
    }

    std::vector<std::pair<std::uint64_t, std::uint64_t>> changes_;
};

using changes = std::vector<std::pair<std::uint64_t, std::uint64_t>>;
using store_calls = std::function<void(store_client&, store_client::callback)>;

/// A client and what it reports, on the loop of the server that it calls.
template <typename Server>
struct client_under_test
{
    process_metrics metrics_;
    event_loop loop_{metrics_};
    Server server_{loop_};
    recording_listener listener_;
    std::unique_ptr<platform::kv_store> store_;

    /// To be called once the server listens.
    void connect()
    {
        store_ = std::make_unique<platform::kv_store>(loop_, *parse_endpoint(server_.address()),
                                                      std::vector<region_spec>{}, metrics_);
        store_->set_listener(listener_);
    }

    /// Makes a call and runs the loop until its reply.
    store_reply call(const store_calls& make_call)
    {
        std::optional<store_reply> received;
        make_call(*store_, [&](store_reply reply) {
            received = std::move(reply);
            loop_.request_stop();
        });
        if (!received)
        {
            loop_.run();
        }
        return *received;
    }

    store_reply list(std::string_view prefix)
    {
        return call([prefix](store_client& store, store_client::callback on_reply) {
            store.list(prefix, std::move(on_reply));
        });
    }

    store_reply write(std::string_view key, std::string_view value, const store_condition& expected)
    {
        return call([&](store_client& store, store_client::callback on_reply) {
            store.write(key, value, expected, std::move(on_reply));
        });
    }

    /// Runs the loop until the condition holds or a second has passed.
    bool run_until(const std::function<bool()>& condition)
    {
        timer poll(loop_, [&] {
            if (condition())
            {
                loop_.request_stop();
            }
        });
        timer limit(loop_, [this] { loop_.request_stop(); });
        poll.repeat(std::chrono::milliseconds(2));
        limit.arm(std::chrono::seconds(1));
        loop_.run();
        return condition();
    }
};

struct store_under_test : client_under_test<platform_store>
{
    store_under_test()
    {
        REQUIRE(server_.start());
        connect();
    }

    ~store_under_test()
    {
        server_.stop();
    }
};

struct held_store_under_test : client_under_test<holding_store_server>
{
    held_store_under_test()
    {
        connect();
    }
};

} // namespace

TEST_CASE("each increase of the store's era is reported once")
{
    store_under_test test;
    test.list("a/");
    CHECK(test.listener_.changes_.empty());
    test.server_.restore_copy();
    test.list("a/");
    test.list("a/");
    CHECK(test.listener_.changes_ == changes{{1, 2}});
    test.server_.restore_copy();
    test.list("a/");
    CHECK(test.listener_.changes_ == changes{{1, 2}, {2, 3}});
}

TEST_CASE("an error response reports the era, too")
{
    store_under_test test;
    test.list("a/");
    test.server_.set_failure_status(503);
    test.server_.restore_copy();
    CHECK(test.list("a/").status_ == store_status::unavailable);
    CHECK(test.listener_.changes_ == changes{{1, 2}});
}

TEST_CASE("a response without a readable era changes nothing")
{
    held_store_under_test test;
    test.server_.set_era("4");
    CHECK(test.list("a/").era_ == 4);
    for (const char* const era : {"", "five", "-1", "5x", "99999999999999999999999"})
    {
        CAPTURE(era);
        test.server_.set_era(era);
        const store_reply reply = test.list("a/");
        CHECK(reply.status_ == store_status::ok);
        CHECK(reply.era_ == 4);
    }
    CHECK(test.listener_.changes_.empty());
}

// Guards against contents from before the restoration that arrive after those of the copy.
TEST_CASE("a late response of an older era is ignored with its content")
{
    held_store_under_test test;
    test.server_.set_era("2");
    CHECK(test.list("a/").status_ == store_status::ok);
    test.server_.set_era("1");
    const store_reply late = test.list("a/");
    CHECK(late.status_ == store_status::unavailable);
    CHECK(late.text_.find("older era") != std::string::npos);
    test.server_.set_era("2");
    CHECK(test.list("a/").status_ == store_status::ok);
    CHECK(test.listener_.changes_.empty());
}

// Guards against a write that replaces a value which its writer has never read.
TEST_CASE("a revision that repeats after the store was restored does not meet a condition")
{
    store_under_test test;
    test.server_.save_copy();
    test.server_.put("a/1", "before");
    const store_reply read = test.list("a/");
    REQUIRE(read.entries_.size() == 1);
    const store_condition condition{read.entries_.front().index_, read.era_};
    test.server_.restore_copy();
    test.server_.put("a/1", "after");
    REQUIRE(test.list("b/").status_ == store_status::ok);
    CHECK(test.write("a/1", "late", condition).status_ == store_status::conflict);
    const store_reply again = test.list("a/");
    REQUIRE(again.entries_.size() == 1);
    REQUIRE(again.entries_.front().index_ == condition.index_);
    CHECK(again.entries_.front().value_ == "after");
    CHECK(test.write("a/1", "next", {again.entries_.front().index_, again.era_}).status_ ==
          store_status::ok);
}

TEST_CASE("a write in flight ends with a conflict when the store's era increases")
{
    held_store_under_test test;
    test.server_.set_era("1");
    test.list("a/");
    std::optional<store_reply> conditional;
    std::optional<store_reply> leased;
    test.store_->write("a/1", "x", {5, 1}, [&](const store_reply& reply) { conditional = reply; });
    test.store_->write_leased("a/2", "x", "7", [&](const store_reply& reply) { leased = reply; });
    REQUIRE(test.run_until([&] { return test.server_.held() == 2; }));
    test.server_.set_era("2");
    test.list("a/");
    REQUIRE(conditional);
    REQUIRE(leased);
    CHECK(conditional->status_ == store_status::conflict);
    CHECK(leased->status_ == store_status::conflict);
}

// Guards against a write that counts as confirmed although only the store before its restoration
// had it.
TEST_CASE("a write whose own response names a new era ends with a conflict")
{
    held_store_under_test test;
    test.server_.set_era("1");
    test.list("a/");
    std::optional<store_reply> written;
    test.store_->write_leased("a/1", "x", "7", [&](const store_reply& reply) {
        CHECK(test.listener_.changes_ == changes{{1, 2}});
        written = reply;
    });
    REQUIRE(test.run_until([&] { return test.server_.held() == 1; }));
    test.server_.set_era("2");
    test.server_.release(200);
    REQUIRE(test.run_until([&] { return written.has_value(); }));
    CHECK(written->status_ == store_status::conflict);
}

TEST_CASE("a watch in flight reads the current value when the store's era increases")
{
    held_store_under_test test;
    test.server_.set_era("1");
    test.list("a/");
    std::optional<store_reply> watched;
    test.store_->watch("a/1", 120, std::chrono::seconds(20),
                       [&](const store_reply& reply) { watched = reply; });
    REQUIRE(test.run_until([&] { return test.server_.held() == 1; }));
    test.server_.set_era("2");
    test.list("b/");
    REQUIRE(test.run_until([&] { return watched.has_value(); }));
    CHECK(watched->status_ == store_status::ok);
    CHECK(watched->index_ == 5);
}

TEST_CASE("a watch from a revision that the restored store does not have reads the current value")
{
    store_under_test test;
    test.server_.save_copy();
    test.server_.put("a/1", "before");
    const std::uint64_t known = test.server_.revision();
    test.list("a/");
    test.server_.restore_copy();
    const store_reply watched =
        test.call([known](store_client& store, store_client::callback on_reply) {
            store.watch("a/1", known, std::chrono::seconds(20), std::move(on_reply));
        });
    CHECK(watched.status_ == store_status::ok);
    CHECK(watched.entries_.empty());
    CHECK(watched.index_ == known - 1);
    CHECK(test.listener_.changes_ == changes{{1, 2}});
}
