#include "daemon/recovery.hpp"

#include "daemon/directory.hpp"

#include "fakes/ignoring_listener.hpp"
#include "fakes/manual_clock.hpp"
#include "fakes/note_peer.hpp"
#include "fakes/recording_store.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr std::string_view note_prefix = "bamboohoist/recovery/";
constexpr duration test_limit = std::chrono::seconds(5);

/// Records what the recovery reports.
class recording_listener : public recovery_listener
{
public:
    void on_departure_recovered(const recovery_note& departure) override
    {
        departures_.push_back(departure.subject_);
    }

    void on_crash_recovered(std::string_view crash_id, std::span<const std::uint64_t>) override
    {
        crashes_.emplace_back(crash_id);
    }

    void on_release_recovered(std::uint64_t fingerprint) override
    {
        releases_.push_back(fingerprint);
    }

    void on_recovered() override {}

    std::vector<std::string> departures_;
    std::vector<std::string> crashes_;
    std::vector<std::uint64_t> releases_;
};

settings make_settings()
{
    settings made;
    made.node_ = "n1";
    made.region_ = "r1";
    made.domain_ = "z1";
    return made;
}

/// A recovery and what it depends on: a store that the test answers, and peers on loopback.
struct recovery_under_test
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
    recording_store store_;
    ignoring_listener membership_events_;
    recording_listener recovered_;
    control_link link_{context_};
    membership members_{context_, link_, membership_events_};
    directory directory_{context_, store_, members_};
    recovery recovery_{context_, store_, link_, members_, recovered_};

    ~recovery_under_test()
    {
        recovery_.stop();
        directory_.stop();
        link_.stop();
    }

    /// Starts with a session of the store and with what the store lists.
    void start()
    {
        link_.start();
        directory_.start();
        recovery_.start();
    }

    /// Runs the loop until the condition holds; false when it doesn't in time.
    bool run_until(const std::function<bool()>& condition)
    {
        bool held = condition();
        timer poll(loop_, [&] {
            held = condition();
            if (held)
            {
                loop_.request_stop();
            }
        });
        timer limit(loop_, [this] { loop_.request_stop(); });
        poll.repeat(std::chrono::milliseconds(5));
        limit.arm(test_limit);
        if (!held)
        {
            loop_.run();
        }
        return held;
    }

    void join(const note_peer& peer)
    {
        members_.sync_with(peer.gossip());
        REQUIRE(run_until([&] { return members_.table().find(peer.node()) != nullptr; }));
    }

    /// The lease of the node's entry lapses, and the directory opens a new session.
    void lapse_lease()
    {
        store_.answer_writes(store_status::ok);
        const std::size_t before = store_.sessions();
        directory_.check_entry();
        REQUIRE(run_until([&] { return store_.sessions() > before; }));
    }

    /// Has a node's call of a path served by this node; true when it was accepted.
    bool receive(std::string_view path, std::string body)
    {
        control_link sender(context_);
        bool replied = false;
        bool accepted = false;
        sender.call({"127.0.0.1", link_.port()}, path, std::move(body),
                    [&](const std::optional<std::string>& reply) {
                        replied = true;
                        accepted = reply.has_value();
                    });
        REQUIRE(run_until([&] { return replied; }));
        return accepted;
    }

    /// Asks this node for notes, as the node `asker` does.
    std::optional<recovery_reply> ask_for_notes(std::string_view asker)
    {
        control_link sender(context_);
        std::optional<std::string> body;
        sender.call({"127.0.0.1", link_.port()}, "/recovery/read", std::string(asker),
                    [&](const std::optional<std::string>& reply) { body = reply; });
        REQUIRE(run_until([&] { return body.has_value(); }));
        return parse_recovery_reply(*body);
    }

    /// Lets the node run for a time in which it asks its peers several times.
    void run_for(duration time)
    {
        bool over = false;
        timer end(loop_, [&] { over = true; });
        end.arm(time);
        run_until([&] { return over; });
    }

    /// From now on the peer replies that the target i-1 of this node leaves.
    recovery_note bring_back_later(note_peer& peer) const
    {
        recovery_note departure = departure_of("n1");
        peer.set_reply({true, {departure}});
        return departure;
    }

    /// That the target i-1 of a node leaves.
    recovery_note departure_of(std::string_view node) const
    {
        recovery_note departure;
        departure.node_ = std::string(node);
        departure.at_ms_ = clock_.wall_ms();
        departure.subject_ = "i-1";
        departure.started_ms_ = 100;
        departure.sequence_ = 5;
        return departure;
    }

    /// The peer brings back that the target i-1 of this node leaves, after the store was read.
    recovery_note bring_back_departure(note_peer& peer)
    {
        REQUIRE(recovery_.complete());
        recovery_note departure = bring_back_later(peer);
        join(peer);
        recovery_.on_members_changed();
        REQUIRE(run_until([&] { return !recovered_.departures_.empty(); }));
        return departure;
    }

    std::vector<recorded_write> written_notes() const
    {
        return store_.writes(note_prefix);
    }
};

departed_instance leaving_again()
{
    return {"i-1", 100, 6};
}

} // namespace

// Guards against notes that end with a lease, which all leases may do while the store is down
// (review/12, DRAIN), and against every node writing what another one has learned.
TEST_CASE("a node writes its own notes once and without a lease, and not those of another node")
{
    recovery_under_test test;
    test.start();
    test.recovery_.learn_crash("n2", "t1#a", std::vector<std::uint64_t>{7});
    test.recovery_.record_crash("t2#b", std::vector<std::uint64_t>{8});
    test.recovery_.record_release(9);
    test.recovery_.record_departure(leaving_again(), [](bool) {});
    CHECK(test.recovered_.crashes_ == std::vector<std::string>{"t1#a"});
    const auto written = test.written_notes();
    REQUIRE(written.size() == 3);
    CHECK(parse_recovery_note(written.front().value_).value().subject_ == "t2#b");
    for (const recorded_write& note : written)
    {
        CHECK(note.session_.empty());
    }
    test.store_.answer_writes(store_status::ok);
    test.lapse_lease();
    CHECK(test.written_notes().size() == 3);
}

// Guards against writes after each start, when the store is needed most.
TEST_CASE("after a start a node writes only those of its notes that the store does not list")
{
    recovery_under_test test;
    recovery_note own;
    own.kind_ = note_kind::crash;
    own.node_ = "n1";
    own.at_ms_ = test.clock_.wall_ms();
    own.subject_ = "t1#a";
    own.fingerprints_ = {7};
    recovery_note other = own;
    other.node_ = "n2";
    other.subject_ = "t2#b";
    test.store_.add_entry("bamboohoist/recovery/n1/1", write_recovery_note(own));
    test.store_.add_entry("bamboohoist/recovery/n2/1", write_recovery_note(other));
    test.start();
    CHECK(test.recovered_.crashes_ == std::vector<std::string>{"t1#a", "t2#b"});
    CHECK(test.written_notes().empty());
    const recovery_note missing = test.departure_of("n1");
    CHECK(test.receive("/recovery/keep", write_recovery_note(missing)));
    REQUIRE(test.written_notes().size() == 1);
    CHECK(parse_recovery_note(test.written_notes().front().value_) == missing);
}

// Guards against as many notes of one release as there are nodes.
TEST_CASE("a release is one note, and nodes of all failure domains get a copy of it")
{
    recovery_under_test test;
    test.start();
    note_peer near(test.context_, "n2", "z1");
    note_peer far(test.context_, "n3", "z2");
    test.join(near);
    test.join(far);
    test.recovery_.record_release(7);
    CHECK(test.run_until([&] { return !near.kept().empty() && !far.kept().empty(); }));
    const auto notes = test.written_notes();
    REQUIRE(notes.size() == 1);
    const auto written = parse_recovery_note(notes.front().value_);
    REQUIRE(written);
    CHECK(near.kept() == std::vector{*written});
    CHECK(far.kept() == std::vector{*written});
}

TEST_CASE("a node that gets a copy of a release puts it in force and leaves the note to its owner")
{
    recovery_under_test test;
    test.start();
    recovery_note release;
    release.kind_ = note_kind::release;
    release.node_ = "n2";
    release.at_ms_ = test.clock_.wall_ms();
    release.fingerprints_ = {7};
    CHECK(test.receive("/recovery/keep", write_recovery_note(release)));
    CHECK(test.recovered_.releases_ == std::vector<std::uint64_t>{7});
    test.lapse_lease();
    CHECK(test.written_notes().empty());
}

// Guards against a leaving that only a peer's copy keeps although the store would take it.
TEST_CASE("a note of this node that a peer brings back late is written to the store")
{
    recovery_under_test test;
    test.start();
    note_peer peer(test.context_, "n2", "z1");
    const recovery_note departure = test.bring_back_departure(peer);
    std::optional<bool> confirmed;
    test.recovery_.record_departure(leaving_again(), [&](bool saved) { confirmed = saved; });
    CHECK_FALSE(confirmed.has_value());
    REQUIRE(test.written_notes().size() == 1);
    CHECK(parse_recovery_note(test.written_notes().front().value_) == departure);
    test.store_.answer_writes(store_status::ok);
    CHECK(confirmed == true);
}

// Guards against a leaving that was confirmed and that nobody knows of after a kill of all nodes
// (review/9, DRAIN).
TEST_CASE("a leaving that only peers have a copy of is not confirmed while the store refuses it")
{
    recovery_under_test test;
    test.start();
    note_peer peer(test.context_, "n2", "z1");
    SUBCASE("a new one")
    {
        test.join(peer);
    }
    SUBCASE("one that the peer brought back")
    {
        test.bring_back_departure(peer);
    }
    std::optional<bool> confirmed;
    test.recovery_.record_departure(leaving_again(), [&](bool saved) { confirmed = saved; });
    test.store_.answer_writes(store_status::unavailable);
    CHECK(test.run_until([&] { return confirmed.has_value(); }));
    CHECK(confirmed == false);
    // The target comes again, and then the store has the note.
    confirmed.reset();
    test.recovery_.record_departure(leaving_again(), [&](bool saved) { confirmed = saved; });
    CHECK(test.run_until([&] {
        test.store_.answer_writes(store_status::ok);
        return confirmed.has_value();
    }));
    CHECK(confirmed == true);
}

// Guards against refusing every leaving at a node that only the store's path keeps from noting it.
TEST_CASE("a peer writes a leaving to the store for a node that the store does not answer")
{
    recovery_under_test test;
    test.start();
    note_peer peer(test.context_, "n2", "z2");
    peer.set_stored({true, {}});
    test.join(peer);
    std::optional<bool> confirmed;
    test.recovery_.record_departure(leaving_again(), [&](bool saved) { confirmed = saved; });
    CHECK(test.run_until([&] { return confirmed.has_value(); }));
    CHECK(confirmed == true);
    REQUIRE(peer.written().size() == 1);
    CHECK(peer.written().front().subject_ == "i-1");
}

TEST_CASE("a node writes a note of a peer without a lease and replies when the store has it")
{
    recovery_under_test test;
    test.start();
    const recovery_note note = test.departure_of("n2");
    control_link sender(test.context_);
    std::optional<bool> accepted;
    sender.call({"127.0.0.1", test.link_.port()}, "/recovery/write", write_recovery_note(note),
                [&](const std::optional<std::string>& reply) { accepted = reply.has_value(); });
    REQUIRE(test.run_until([&] { return !test.written_notes().empty(); }));
    CHECK_FALSE(accepted.has_value());
    CHECK(parse_recovery_note(test.written_notes().front().value_) == note);
    CHECK(test.written_notes().front().session_.empty());
    bool ok = false;
    SUBCASE("it has it")
    {
        ok = true;
        test.store_.answer_writes(store_status::ok);
    }
    SUBCASE("it refuses it")
    {
        test.store_.answer_writes(store_status::unavailable);
    }
    CHECK(test.run_until([&] { return accepted.has_value(); }));
    CHECK(accepted == ok);
}

// Guards against notes that nobody but this process and its peers has.
TEST_CASE("after the store was restored a node writes its notes again")
{
    recovery_under_test test;
    test.start();
    test.recovery_.record_crash("t1#a", std::vector<std::uint64_t>{8});
    test.store_.answer_writes(store_status::ok);
    REQUIRE(test.written_notes().size() == 1);
    test.recovery_.on_writes_lost();
    REQUIRE(test.run_until([&] { return test.written_notes().size() > 1; }));
    CHECK(test.written_notes()[1].value_ == test.written_notes()[0].value_);
    CHECK(test.written_notes()[1].key_ == test.written_notes()[0].key_);
}

// Guards against a target that drains for longer than its note matters and is forgotten then.
TEST_CASE("a leaving that is announced for long gets a new note before the former one expires")
{
    recovery_under_test test;
    test.start();
    test.recovery_.record_departure(leaving_again(), [](bool) {});
    test.store_.answer_writes(store_status::ok);
    const auto announce = [&] {
        std::optional<bool> confirmed;
        test.recovery_.record_departure(leaving_again(), [&](bool saved) { confirmed = saved; });
        return confirmed;
    };
    test.clock_.advance(std::chrono::minutes(2));
    CHECK(announce() == true);
    CHECK(test.written_notes().size() == 1);
    test.clock_.advance(std::chrono::minutes(1));
    CHECK_FALSE(announce().has_value());
    REQUIRE(test.written_notes().size() == 2);
    CHECK(test.written_notes()[1].key_ != test.written_notes()[0].key_);
    test.store_.answer_writes(store_status::ok);
    CHECK(announce() == true);
    // Its end needs no note as long as that of its leaving is new.
    std::optional<bool> ended;
    departed_instance end = leaving_again();
    end.ended_ = true;
    test.recovery_.record_end({end, true}, [&](bool saved) { ended = saved; });
    CHECK(ended == true);
    test.clock_.advance(std::chrono::minutes(3));
    ended.reset();
    test.recovery_.record_end({end, true}, [&](bool saved) { ended = saved; });
    CHECK_FALSE(ended.has_value());
    CHECK(test.written_notes().size() == 3);
}

// Guards against a node that restarted, read the older copy of the store, and takes a target for
// present whose leaving it had acknowledged.
TEST_CASE("after the store was restored a peer sends the notes of a node of its domain back to it")
{
    recovery_under_test test;
    test.start();
    note_peer near(test.context_, "n2", "z1");
    note_peer far(test.context_, "n3", "z2");
    test.join(near);
    test.join(far);
    const recovery_note departure = test.departure_of("n2");
    REQUIRE(test.receive("/recovery/keep", write_recovery_note(departure)));
    recovery_note distant = departure;
    distant.node_ = "n3";
    REQUIRE(test.receive("/recovery/keep", write_recovery_note(distant)));
    test.recovery_.on_writes_lost();
    CHECK(test.run_until([&] { return !near.kept().empty(); }));
    CHECK(near.kept() == std::vector{departure});
    CHECK(far.kept().empty());
}

// Guards against a node that has read an older copy of the store and asked only a peer that had
// just started itself.
TEST_CASE("a node that has read the store asks its peers until one knows what was known before")
{
    recovery_under_test test;
    test.start();
    note_peer peer(test.context_, "n2", "z1");
    peer.set_reply({false, {}});
    test.join(peer);
    REQUIRE(test.recovery_.complete());
    test.recovery_.on_members_changed();
    timer later(test.loop_, [&] { test.bring_back_later(peer); });
    later.arm(std::chrono::milliseconds(100));
    CHECK(test.run_until([&] { return !test.recovered_.departures_.empty(); }));
}

// Guards against taking the answer of a peer for complete to which no departure is copied
// (review/8, DRAIN).
TEST_CASE("a peer of another failure domain doesn't tell a node which targets have left")
{
    recovery_under_test test;
    test.store_.set_lists_fail(true);
    test.start();
    note_peer far(test.context_, "n3", "z2");
    far.set_reply({true, {}});
    test.join(far);
    test.recovery_.on_members_changed();
    test.run_for(std::chrono::milliseconds(700));
    CHECK_FALSE(test.recovery_.complete());
    SUBCASE("a peer of its own does")
    {
        note_peer near(test.context_, "n2", "z1");
        test.bring_back_later(near);
        test.join(near);
        CHECK(test.run_until([&] { return test.recovery_.complete(); }));
        CHECK(test.recovered_.departures_ == std::vector<std::string>{"i-1"});
    }
    SUBCASE("the store does, read by that peer")
    {
        far.set_stored({true, {test.departure_of("n1")}});
        CHECK(test.run_until([&] { return test.recovery_.complete(); }));
        CHECK(test.recovered_.departures_ == std::vector<std::string>{"i-1"});
    }
}

// Guards against a departure that the store holds and the peer that replied first doesn't.
TEST_CASE("a node whose peer replied reads the store as soon as that serves it")
{
    recovery_under_test test;
    test.store_.set_lists_fail(true);
    test.start();
    note_peer near(test.context_, "n2", "z1");
    near.set_reply({true, {}});
    test.join(near);
    test.recovery_.on_members_changed();
    REQUIRE(test.run_until([&] { return test.recovery_.complete(); }));
    test.store_.add_entry("bamboohoist/recovery/n1/1",
                          write_recovery_note(test.departure_of("n1")));
    test.store_.set_lists_fail(false);
    test.recovery_.on_store_regained();
    CHECK(test.run_until([&] { return !test.recovered_.departures_.empty(); }));
}

// Guards against a series of restarts in which a departure is lost between two nodes: the one that
// held it restarts after the one that asked it.
TEST_CASE("a node that asks gets the departures of the other nodes of the failure domain too")
{
    recovery_under_test test;
    test.start();
    note_peer second(test.context_, "n2", "z1");
    test.join(second);
    REQUIRE(test.receive("/recovery/keep", write_recovery_note(test.departure_of("n2"))));
    const auto reply = test.ask_for_notes("n3");
    REQUIRE(reply);
    CHECK(reply->complete_);
    CHECK(reply->notes_ == std::vector{test.departure_of("n2")});
}

// Guards against a peer that has started after a departure, and is asked for it.
TEST_CASE("a peer of the failure domain that has started gets a node's departures")
{
    recovery_under_test test;
    test.start();
    test.recovery_.record_departure(leaving_again(), [](bool) {});
    note_peer near(test.context_, "n2", "z1");
    test.join(near);
    test.recovery_.on_members_changed();
    REQUIRE(test.run_until([&] { return !near.kept().empty(); }));
    CHECK(near.kept().front().subject_ == "i-1");
    test.recovery_.on_members_changed();
    test.run_for(std::chrono::milliseconds(100));
    CHECK(near.kept().size() == 1);
}

// Guards against a peer that answers for this node, while the store is silent, without a departure
// whose copy got lost on its way.
TEST_CASE("a peer of the failure domain that has not taken a copy gets the departures again")
{
    recovery_under_test test;
    test.start();
    note_peer near(test.context_, "n2", "z1");
    test.join(near);
    test.recovery_.on_members_changed();
    near.refuse_copies(2);
    test.recovery_.record_departure(leaving_again(), [](bool) {});
    REQUIRE(test.run_until([&] { return !near.kept().empty(); }));
    CHECK(near.kept().front().subject_ == "i-1");
    test.run_for(std::chrono::milliseconds(700));
    CHECK(near.kept().size() == 1);
}
