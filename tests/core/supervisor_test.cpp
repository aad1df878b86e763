#include "core/supervisor.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

namespace {

/// A child that writes down what is done to it.
class fake_child : public child
{
public:
    fake_child(std::string name, std::string& journal) : name_(std::move(name)), journal_(journal)
    {
    }

    std::string_view name() const override
    {
        return name_;
    }

    bool start() override
    {
        journal_ += "+" + name_;
        return !broken_;
    }

    void stop() override
    {
        journal_ += "-" + name_;
    }

    bool broken_ = false;

private:
    std::string name_;
    std::string& journal_;
};

struct tree
{
    explicit tree(restart_strategy strategy, restart_intensity intensity = {})
        : root_("root", strategy, intensity, clock_)
    {
        root_.add(a_);
        root_.add(b_);
        root_.add(c_);
    }

    manual_clock clock_;
    std::string journal_;
    fake_child a_{"a", journal_};
    fake_child b_{"b", journal_};
    fake_child c_{"c", journal_};
    supervisor root_;
};

} // namespace

TEST_CASE("supervisor starts in order and stops in reverse")
{
    tree built(restart_strategy::one_for_one);
    CHECK(built.root_.start());
    built.root_.stop();
    CHECK(built.journal_ == "+a+b+c-c-b-a");
}

TEST_CASE("supervisor stops what it has started when a child fails to start")
{
    tree built(restart_strategy::one_for_one);
    built.c_.broken_ = true;
    CHECK_FALSE(built.root_.start());
    CHECK(built.journal_ == "+a+b+c-b-a");
}

TEST_CASE("supervisor restarts by its strategy")
{
    const std::pair<restart_strategy, const char*> expected[] = {
        {restart_strategy::one_for_one, "-b+b"},
        {restart_strategy::rest_for_one, "-c-b+b+c"},
        {restart_strategy::one_for_all, "-c-b-a+a+b+c"},
    };
    for (const auto& [strategy, journal] : expected)
    {
        tree built(strategy);
        REQUIRE(built.root_.start());
        built.journal_.clear();
        CHECK(built.root_.handle_child_failure(built.b_));
        CHECK(built.journal_ == journal);
    }
}

TEST_CASE("supervisor gives up when restarts come too often, and not when they are rare")
{
    tree built(restart_strategy::one_for_one, {2, std::chrono::seconds(10)});
    REQUIRE(built.root_.start());
    CHECK(built.root_.handle_child_failure(built.a_));
    CHECK(built.root_.handle_child_failure(built.a_));
    CHECK_FALSE(built.root_.handle_child_failure(built.a_));

    tree patient(restart_strategy::one_for_one, {2, std::chrono::seconds(10)});
    REQUIRE(patient.root_.start());
    for (int i = 0; i < 10; ++i)
    {
        CHECK(patient.root_.handle_child_failure(patient.a_));
        patient.clock_.advance(std::chrono::seconds(6));
    }
}
