#include "policy/probe_tracker.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

constexpr duration indirect_probe_delay = std::chrono::milliseconds(400);
constexpr duration timeout = std::chrono::milliseconds(1000);
constexpr instant start{std::chrono::seconds(10)};

} // namespace

TEST_CASE("a member without a reply is probed indirectly once, then reported as unresponsive")
{
    probe_tracker probes(indirect_probe_delay, timeout);
    const std::uint64_t sequence = probes.start_direct("n2", start);
    CHECK(probes.check_timeouts(start + indirect_probe_delay / 2).probe_indirectly_.empty());
    const probes_due due = probes.check_timeouts(start + indirect_probe_delay);
    REQUIRE(due.probe_indirectly_.size() == 1);
    CHECK(due.probe_indirectly_.front().sequence_ == sequence);
    CHECK(probes.check_timeouts(start + indirect_probe_delay * 2).probe_indirectly_.empty());
    CHECK(probes.check_timeouts(start + timeout).unresponsive_ == std::vector<std::string>{"n2"});
    CHECK_FALSE(probes.complete_probe(sequence, "n2"));
}

TEST_CASE("a probe on behalf of another node never reports a member as unresponsive")
{
    probe_tracker probes(indirect_probe_delay, timeout);
    const std::uint64_t sequence = probes.start_indirect("n3", "n1", 42, start);
    probes.start_indirect("n4", "n1", 43, start);
    const auto probe = probes.complete_probe(sequence, "n3");
    REQUIRE(probe);
    CHECK(probe->requester_ == "n1");
    CHECK(probe->requester_sequence_ == 42);
    const probes_due due = probes.check_timeouts(start + timeout);
    CHECK(due.unresponsive_.empty());
    CHECK(due.probe_indirectly_.empty());
}

// Otherwise a member that is gone stays alive for as long as another node has its address.
TEST_CASE("the reply of another node at the member's address does not answer its probe")
{
    probe_tracker probes(indirect_probe_delay, timeout);
    const std::uint64_t own = probes.start_direct("n2", start);
    CHECK_FALSE(probes.complete_probe(own, "n9"));
    const std::uint64_t requested = probes.start_indirect("n2", "n1", 42, start);
    CHECK_FALSE(probes.complete_probe(requested, "n9"));
    CHECK(probes.complete_probe(requested, "n2"));
    probes.check_timeouts(start + indirect_probe_delay);
    CHECK(probes.check_timeouts(start + timeout).unresponsive_ == std::vector<std::string>{"n2"});
}

TEST_CASE("the reply that a requested node relays answers the probe")
{
    probe_tracker probes(indirect_probe_delay, timeout);
    const std::uint64_t own = probes.start_direct("n2", start);
    probes.check_timeouts(start + indirect_probe_delay);
    CHECK(probes.complete_probe(own, "n5"));
    CHECK(probes.check_timeouts(start + timeout).unresponsive_.empty());
}

TEST_CASE("members of other domains are probed rarely, but always by a node alone in its domain")
{
    CHECK(cross_domain_probe_probability(0) == 1.0);
    CHECK(cross_domain_probe_probability(5) < 0.2);
    CHECK(cross_domain_probe_probability(20) < 0.05);
}
