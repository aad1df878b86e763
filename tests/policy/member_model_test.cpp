/// Runs seeded random schedules of message loss, broken links, crashes, restarts and departures
/// over several member tables.

#include "core/random_source.hpp"
#include "fakes/manual_clock.hpp"
#include "policy/member_table.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <set>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

namespace {

constexpr duration suspicion = std::chrono::seconds(3);
constexpr duration tombstone = std::chrono::hours(10);
constexpr std::size_t node_count = 6;
constexpr int steps = 300;

struct model_node
{
    std::string name_;
    std::unique_ptr<member_table> table_;
    bool running_ = true;
    bool left_ = false;
};

std::size_t cost(const member_record&)
{
    return 100;
}

class member_model
{
public:
    explicit member_model(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < node_count; ++i)
        {
            nodes_.push_back({"n" + std::to_string(i), nullptr});
            start(nodes_.back());
        }
    }

    void run()
    {
        for (int step = 0; step < steps; ++step)
        {
            clock_.advance(std::chrono::milliseconds(200));
            inject_faults();
            for (std::size_t i = 0; i < node_count; ++i)
            {
                gossip();
            }
            advance();
            check_left();
        }
    }

    void recover()
    {
        broken_links_ = {};
        // Enough time without faults for suspicions to time out and tables to be compared.
        for (int step = 0; step < 200; ++step)
        {
            clock_.advance(std::chrono::milliseconds(200));
            for (model_node& from : nodes_)
            {
                for (model_node& to : nodes_)
                {
                    sync(from, to);
                }
            }
            advance();
            check_left();
        }
    }

    void check_converged()
    {
        const member_table* first = nullptr;
        for (const model_node& node : nodes_)
        {
            if (!node.running_ || node.left_)
            {
                continue;
            }
            first = first == nullptr ? node.table_.get() : first;
            CHECK(node.table_->fingerprint() == first->fingerprint());
            for (const model_node& other : nodes_)
            {
                const member_record* seen = node.table_->find(other.name_);
                REQUIRE(seen != nullptr);
                if (other.running_ && !other.left_)
                {
                    CHECK(seen->state_ == member_state::alive);
                    CHECK(seen->incarnation_ == other.table_->self().incarnation_);
                }
            }
        }
    }

private:
    void start(model_node& node)
    {
        member_record self;
        self.node_ = node.name_;
        self.region_ = node.name_ < "n3" ? "a" : "b";
        self.incarnation_ = static_cast<std::uint64_t>(clock_.wall_ms());
        self.version_ = 1;
        node.table_ = std::make_unique<member_table>(self, suspicion, tombstone);
        node.running_ = true;
        node.left_ = false;
        // Joins through any running peer, as a daemon does.
        for (model_node& peer : nodes_)
        {
            sync(peer, node);
        }
    }

    void inject_faults()
    {
        model_node& node = nodes_[random_.index(node_count)];
        if (random_.chance(0.02))
        {
            broken_links_.insert({random_.index(node_count), random_.index(node_count)});
        }
        if (random_.chance(0.02))
        {
            broken_links_.clear();
        }
        if (random_.chance(0.01))
        {
            node.running_ = false; // Crashes without leaving the fleet.
        }
        else if (random_.chance(0.01) && node.running_)
        {
            node.left_ = true;
            node.table_->leave_self();
            left_nodes_.insert({node.name_, node.table_->self().incarnation_});
        }
        else if (random_.chance(0.03) && (!node.running_ || node.left_))
        {
            clock_.advance(std::chrono::milliseconds(1));
            start(node);
        }
    }

    bool reaches(const model_node& from, const model_node& to) const
    {
        const auto a = static_cast<std::size_t>(&from - nodes_.data());
        const auto b = static_cast<std::size_t>(&to - nodes_.data());
        return from.running_ && to.running_ && !broken_links_.contains({a, b});
    }

    void gossip()
    {
        model_node& from = nodes_[random_.index(node_count)];
        if (!from.running_)
        {
            return;
        }
        const member_record* peer = from.table_->random_peer(random_);
        if (peer == nullptr)
        {
            return;
        }
        model_node& to = nodes_[static_cast<std::size_t>(peer->node_[1] - '0')];
        std::vector<member_record> records;
        for (const member_record* record : from.table_->select_updates(300, &cost))
        {
            records.push_back(*record);
        }
        const bool arrived = reaches(from, to) && !random_.chance(0.2);
        const bool answered = arrived && reaches(to, from) && !random_.chance(0.2);
        if (arrived)
        {
            for (const member_record& record : records)
            {
                to.table_->merge(record, clock_.now());
            }
        }
        if (answered)
        {
            from.table_->confirm_alive(to.name_, to.table_->self().incarnation_);
        }
        else
        {
            from.table_->suspect(to.name_, clock_.now());
        }
    }

    void sync(model_node& from, model_node& to)
    {
        if (&from == &to || !from.table_ || !to.table_ || !from.running_ || !to.running_)
        {
            return;
        }
        for (const member_record* record : from.table_->newer_than(to.table_->digest()))
        {
            to.table_->merge(*record, clock_.now());
        }
    }

    void advance()
    {
        for (model_node& node : nodes_)
        {
            if (node.running_)
            {
                node.table_->advance(clock_.now());
            }
        }
    }

    /// Once a table knows that a node has left, the node never counts as present again under the
    /// same incarnation.
    void check_left()
    {
        for (const model_node& node : nodes_)
        {
            for (const auto& [name, incarnation] : left_nodes_)
            {
                const member_record* seen = node.table_->find(name);
                const bool known =
                    tables_with_left_.contains({node.table_.get(), name, incarnation});
                if (seen == nullptr || seen->incarnation_ != incarnation)
                {
                    continue;
                }
                if (seen->state_ == member_state::left)
                {
                    tables_with_left_.insert({node.table_.get(), name, incarnation});
                }
                else
                {
                    CHECK_FALSE(known);
                }
            }
        }
    }

    random_source random_;
    manual_clock clock_;
    std::vector<model_node> nodes_;
    std::set<std::pair<std::size_t, std::size_t>> broken_links_;
    std::set<std::pair<std::string, std::uint64_t>> left_nodes_;
    std::set<std::tuple<const member_table*, std::string, std::uint64_t>> tables_with_left_;
};

} // namespace

TEST_CASE("the tables converge after any schedule and a node that left stays left")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        CAPTURE(seed);
        member_model model(seed);
        model.run();
        model.recover();
        model.check_converged();
    }
}

TEST_CASE("a false suspicion is refuted by the suspected node")
{
    manual_clock clock;
    member_record a;
    a.node_ = "a";
    a.incarnation_ = 5;
    a.version_ = 1;
    member_record b = a;
    b.node_ = "b";
    member_table at_a(a, suspicion, tombstone);
    member_table at_b(b, suspicion, tombstone);
    at_a.merge(b, clock.now());
    at_b.merge(a, clock.now());
    CHECK(at_a.suspect("b", clock.now()));
    CHECK(at_b.merge(*at_a.find("b"), clock.now()));
    CHECK(at_a.merge(at_b.self(), clock.now()));
    CHECK(at_a.find("b")->state_ == member_state::alive);
    clock.advance(suspicion * 2);
    CHECK(at_a.advance(clock.now()).empty());
}

TEST_CASE("a member whose suspicion is not refuted is marked as dead")
{
    manual_clock clock;
    member_record a;
    a.node_ = "a";
    member_record b = a;
    b.node_ = "b";
    member_table at_a(a, suspicion, tombstone);
    at_a.merge(b, clock.now());
    at_a.suspect("b", clock.now());
    clock.advance(suspicion);
    CHECK(at_a.advance(clock.now()) == std::vector<std::string>{"b"});
    CHECK(at_a.peers().empty());
}

TEST_CASE("a change is sent out of a failure domain about equally often, whatever its size")
{
    const auto cross_domain_fraction = [](std::size_t per_domain) {
        member_record self;
        self.node_ = "a-0";
        self.domain_ = "a";
        member_table table(self, suspicion, tombstone);
        const manual_clock clock;
        for (const std::string domain : {"a", "b", "c", "d"})
        {
            for (std::size_t i = 0; i < per_domain; ++i)
            {
                member_record peer;
                peer.node_ = domain + "-" + std::to_string(i);
                peer.domain_ = domain;
                table.merge(peer, clock.now());
            }
        }
        random_source random(1);
        int cross_domain = 0;
        for (int i = 0; i < 10'000; ++i)
        {
            cross_domain += table.random_peer(random)->domain_ != "a" ? 1 : 0;
        }
        return cross_domain / 10'000.0;
    };
    CHECK(cross_domain_fraction(6) == doctest::Approx(0.15).epsilon(0.1));
    CHECK(cross_domain_fraction(20) < 0.05);
    CHECK(cross_domain_fraction(83) < 0.01);
    CHECK(cross_domain_fraction(83) > 0.0);
}
