#include "daemon/note_sweeper.hpp"

#include "config/recovery_json.hpp"
#include "fakes/ignoring_listener.hpp"
#include "fakes/manual_clock.hpp"
#include "fakes/recording_store.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr duration period = std::chrono::milliseconds(2);

/// A sweeper with a short period on a node that knows no other one.
struct sweeper_under_test
{
    manual_clock clock_;
    process_metrics metrics_;
    event_loop loop_{metrics_};
    random_source random_{1};
    settings settings_;
    hybrid_logical_clock hybrid_clock_{clock_};
    event_log events_{hybrid_clock_, "n1", 64};
    control_context context_{settings_, loop_,         clock_,  random_,
                             metrics_,  hybrid_clock_, events_, default_deployment()};
    recording_store store_;
    ignoring_listener membership_events_;
    control_link link_{context_};
    membership members_{context_, link_, membership_events_};
    note_sweeper sweeper_{context_, store_, members_, period};

    ~sweeper_under_test()
    {
        sweeper_.stop();
    }

    /// A note of another node that was written so long ago.
    void add_note(const std::string& key, note_kind kind, duration age)
    {
        recovery_note note;
        note.kind_ = kind;
        note.node_ = "n2";
        note.subject_ = key;
        note.at_ms_ =
            clock_.wall_ms() - std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
        store_.add_entry(std::string(note_prefix) + key, write_recovery_note(note));
    }

    /// Runs for many periods.
    void sweep()
    {
        timer over(loop_, [this] { loop_.request_stop(); });
        over.arm(period * 200);
        sweeper_.start();
        loop_.run();
    }
};

} // namespace

// Guards against notes that stay for ever because the node that wrote them has gone for good.
TEST_CASE("notes that no longer matter are removed, whoever wrote them, and no others")
{
    sweeper_under_test test;
    test.add_note("new", note_kind::departure, std::chrono::minutes(1));
    test.add_note("just-over", note_kind::departure, std::chrono::minutes(9));
    test.add_note("old", note_kind::departure, std::chrono::minutes(11));
    test.add_note("crash", note_kind::crash, std::chrono::minutes(31));
    test.add_note("old-release", note_kind::release, std::chrono::minutes(36));
    test.store_.add_entry("bamboohoist/recovery/other", "not a note");
    test.store_.add_entry("bamboohoist/nodes/n2", "127.0.0.1:1");
    test.sweep();
    CHECK(test.store_.keys() ==
          std::vector<std::string>{"bamboohoist/recovery/new", "bamboohoist/recovery/just-over",
                                   "bamboohoist/recovery/crash", "bamboohoist/recovery/other",
                                   "bamboohoist/nodes/n2"});
    CHECK(test.metrics_.value(counter::recovery_notes_removed) == 2);
}

TEST_CASE("while the store returns errors nothing is removed")
{
    sweeper_under_test test;
    test.add_note("old", note_kind::departure, std::chrono::minutes(11));
    test.store_.set_lists_fail(true);
    test.sweep();
    CHECK(test.store_.keys().size() == 1);
    test.store_.set_lists_fail(false);
    test.sweep();
    CHECK(test.store_.keys().empty());
}
