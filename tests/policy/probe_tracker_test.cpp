#include "policy/probe_tracker.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr duration indirect_probe_delay = std::chrono::milliseconds(400);
constexpr duration timeout = std::chrono::milliseconds(1000);
constexpr instant start{std::chrono::seconds(10)};

} // namespace

TEST_CASE("a silent member is asked for through others once, then counts as silent")
{
    probe_tracker probes(indirect_probe_delay, timeout);
    const std::uint64_t sequence = probes.start("n2", start);
    CHECK(probes.check_timeouts(start + indirect_probe_delay / 2).probe_indirectly_.empty());
    const probes_due asked = probes.check_timeouts(start + indirect_probe_delay);
    REQUIRE(asked.probe_indirectly_.size() == 1);
    CHECK(asked.probe_indirectly_.front().sequence_ == sequence);
    CHECK(probes.check_timeouts(start + indirect_probe_delay * 2).probe_indirectly_.empty());
    CHECK(probes.check_timeouts(start + timeout).unresponsive_ == std::vector<std::string>{"n2"});
    CHECK_FALSE(probes.answered(sequence));
}

TEST_CASE("a probe for another node never makes its subject silent here")
{
    probe_tracker probes(indirect_probe_delay, timeout);
    const std::uint64_t answered = probes.start_indirect("n3", "n1", 42, start);
    probes.start_indirect("n4", "n1", 43, start);
    const auto probe = probes.answered(answered);
    REQUIRE(probe);
    CHECK(probe->requester_ == "n1");
    CHECK(probe->requester_sequence_ == 42);
    const probes_due due = probes.check_timeouts(start + timeout);
    CHECK(due.unresponsive_.empty());
    CHECK(due.probe_indirectly_.empty());
}

TEST_CASE("members elsewhere are probed seldom, but always by a node that is alone in its domain")
{
    CHECK(cross_domain_probe_probability(0) == 1.0);
    CHECK(cross_domain_probe_probability(5) < 0.2);
    CHECK(cross_domain_probe_probability(20) < 0.05);
}
