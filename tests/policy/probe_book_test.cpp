#include "policy/probe_book.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr duration ask_others_after = std::chrono::milliseconds(400);
constexpr duration timeout = std::chrono::milliseconds(1000);
constexpr instant start{std::chrono::seconds(10)};

} // namespace

TEST_CASE("a silent member is asked for through others once, then counts as silent")
{
    probe_book probes(ask_others_after, timeout);
    const std::uint64_t sequence = probes.start("n2", start);
    CHECK(probes.check(start + ask_others_after / 2).ask_others_.empty());
    const probes_due asked = probes.check(start + ask_others_after);
    REQUIRE(asked.ask_others_.size() == 1);
    CHECK(asked.ask_others_.front().sequence_ == sequence);
    CHECK(probes.check(start + ask_others_after * 2).ask_others_.empty());
    CHECK(probes.check(start + timeout).silent_ == std::vector<std::string>{"n2"});
    CHECK_FALSE(probes.answered(sequence));
}

TEST_CASE("a probe for another node never makes its subject silent here")
{
    probe_book probes(ask_others_after, timeout);
    const std::uint64_t answered = probes.start_for("n3", "n1", 42, start);
    probes.start_for("n4", "n1", 43, start);
    const auto probe = probes.answered(answered);
    REQUIRE(probe);
    CHECK(probe->for_node_ == "n1");
    CHECK(probe->for_sequence_ == 42);
    const probes_due due = probes.check(start + timeout);
    CHECK(due.silent_.empty());
    CHECK(due.ask_others_.empty());
}

TEST_CASE("members elsewhere are probed seldom, but always by a node that is alone in its domain")
{
    CHECK(far_probe_share(0) == 1.0);
    CHECK(far_probe_share(5) < 0.2);
    CHECK(far_probe_share(20) < 0.05);
}
