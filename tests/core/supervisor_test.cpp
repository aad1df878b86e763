#include "core/supervisor.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

namespace {

/// A child that records its starts as `+name` and its stops as `-name`, and fails to start while
/// `fails_to_start_` is set.
class fake_child : public child
{
public:
    fake_child(std::string name, std::string& calls) : name_(std::move(name)), calls_(calls) {}

    std::string_view name() const override
    {
        return name_;
    }

    bool start() override
    {
        calls_ += "+" + name_;
        return !fails_to_start_;
    }

    void stop() override
    {
        calls_ += "-" + name_;
    }

    bool fails_to_start_ = false;

private:
    std::string name_;
    std::string& calls_;
};

struct supervisor_fixture
{
    explicit supervisor_fixture(restart_strategy strategy, restart_intensity intensity = {})
        : root_("root", strategy, intensity, clock_)
    {
        root_.add(a_);
        root_.add(b_);
        root_.add(c_);
    }

    manual_clock clock_;
    std::string calls_;
    fake_child a_{"a", calls_};
    fake_child b_{"b", calls_};
    fake_child c_{"c", calls_};
    supervisor root_;
};

} // namespace

TEST_CASE("supervisor starts its children in order and stops them in reverse order")
{
    supervisor_fixture fixture(restart_strategy::one_for_one);
    CHECK(fixture.root_.start());
    fixture.root_.stop();
    CHECK(fixture.calls_ == "+a+b+c-c-b-a");
}

TEST_CASE("supervisor stops the started children when a child fails to start")
{
    supervisor_fixture fixture(restart_strategy::one_for_one);
    fixture.c_.fails_to_start_ = true;
    CHECK_FALSE(fixture.root_.start());
    CHECK(fixture.calls_ == "+a+b+c-b-a");
}

TEST_CASE("supervisor restarts the children that its strategy selects")
{
    const std::pair<restart_strategy, const char*> expected[] = {
        {restart_strategy::one_for_one, "-b+b"},
        {restart_strategy::rest_for_one, "-c-b+b+c"},
        {restart_strategy::one_for_all, "-c-b-a+a+b+c"},
    };
    for (const auto& [strategy, expected_calls] : expected)
    {
        supervisor_fixture fixture(strategy);
        REQUIRE(fixture.root_.start());
        fixture.calls_.clear();
        CHECK(fixture.root_.handle_child_failure(fixture.b_));
        CHECK(fixture.calls_ == expected_calls);
    }
}

TEST_CASE("supervisor stops restarting only when restarts exceed the intensity")
{
    supervisor_fixture fixture(restart_strategy::one_for_one, {2, std::chrono::seconds(10)});
    REQUIRE(fixture.root_.start());
    CHECK(fixture.root_.handle_child_failure(fixture.a_));
    CHECK(fixture.root_.handle_child_failure(fixture.a_));
    CHECK_FALSE(fixture.root_.handle_child_failure(fixture.a_));

    supervisor_fixture rarely_failing(restart_strategy::one_for_one, {2, std::chrono::seconds(10)});
    REQUIRE(rarely_failing.root_.start());
    for (int i = 0; i < 10; ++i)
    {
        CHECK(rarely_failing.root_.handle_child_failure(rarely_failing.a_));
        rarely_failing.clock_.advance(std::chrono::seconds(6));
    }
}
