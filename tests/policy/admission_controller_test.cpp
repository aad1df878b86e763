#include "policy/admission_controller.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

namespace {

admission_request from(std::uint64_t ticket, std::string_view organisation, instant deadline,
                       double share = 1.0)
{
    return {ticket, organisation, share, deadline};
}

} // namespace

TEST_CASE("slots are never exceeded and the queue is bounded")
{
    manual_clock clock;
    admission_controller gate(3, 2);
    const instant later = clock.now() + std::chrono::seconds(10);
    std::uint64_t ticket = 0;
    for (int i = 0; i < 3; ++i)
    {
        CHECK(gate.request(from(++ticket, "a", later), clock.now()).result_ ==
              admission_result::run);
    }
    for (int i = 0; i < 2; ++i)
    {
        CHECK(gate.request(from(++ticket, "a", later), clock.now()).result_ ==
              admission_result::queued);
    }
    CHECK(gate.request(from(++ticket, "a", later), clock.now()).result_ == admission_result::shed);
    CHECK_FALSE(gate.next(clock.now()));
    gate.release(std::chrono::milliseconds(5));
    CHECK(gate.next(clock.now()) == 4);
    CHECK_FALSE(gate.next(clock.now()));
    CHECK(gate.running() == 3);
}

TEST_CASE("a request that cannot be served before its deadline is shed at once")
{
    manual_clock clock;
    admission_controller gate(1, 100);
    const instant later = clock.now() + std::chrono::seconds(10);
    CHECK(gate.request(from(1, "a", later), clock.now()).result_ == admission_result::run);
    const instant soon = clock.now() + std::chrono::milliseconds(1);
    CHECK(gate.request(from(2, "a", soon), clock.now()).result_ == admission_result::shed);
}

TEST_CASE("a queued request whose deadline passes is given back, not run")
{
    manual_clock clock;
    admission_controller gate(1, 10);
    CHECK(gate.request(from(1, "a", clock.now() + std::chrono::seconds(9)), clock.now()).result_ ==
          admission_result::run);
    const instant soon = clock.now() + std::chrono::milliseconds(50);
    CHECK(gate.request(from(2, "a", soon), clock.now()).result_ == admission_result::queued);
    clock.advance(std::chrono::milliseconds(51));
    CHECK(gate.take_expired(clock.now()) == std::vector<std::uint64_t>{2});
    gate.release(std::chrono::milliseconds(51));
    CHECK_FALSE(gate.next(clock.now()));
}

TEST_CASE("a full queue sheds from the organisation that holds most of it")
{
    manual_clock clock;
    admission_controller gate(1, 4);
    const instant later = clock.now() + std::chrono::seconds(10);
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
    {
        gate.request(from(ticket, "greedy", later), clock.now());
    }
    const auto decision = gate.request(from(6, "modest", later), clock.now());
    CHECK(decision.result_ == admission_result::queued);
    CHECK(decision.displaced_ticket_ == 5);
    gate.release(std::chrono::milliseconds(1));
    CHECK(gate.next(clock.now()) == 6);
}

TEST_CASE("under overload slots are shared by weight between organisations")
{
    manual_clock clock;
    admission_controller gate(2, 64);
    std::map<std::string, int> served;
    std::map<std::uint64_t, std::string> owner;
    std::uint64_t ticket = 0;
    const auto submit = [&](const std::string& organisation, double share) {
        owner[++ticket] = organisation;
        const auto decision = gate.request(
            from(ticket, organisation, clock.now() + std::chrono::seconds(60), share), clock.now());
        served[organisation] += decision.result_ == admission_result::run ? 1 : 0;
    };
    for (int round = 0; round < 1000; ++round)
    {
        for (int i = 0; i < 10; ++i)
        {
            submit("flood", 1.0);
        }
        submit("small", 1.0);
        submit("double", 2.0);
        submit("double", 2.0);
        clock.advance(std::chrono::milliseconds(1));
        for (int i = 0; i < 2; ++i)
        {
            gate.release(std::chrono::milliseconds(1));
        }
        while (const auto next = gate.next(clock.now()))
        {
            ++served[owner[*next]];
        }
    }
    // Two slots a round: a weight of 4 in all, of which each organisation has its part.
    CHECK(served["small"] >= 450);
    CHECK(served["double"] >= 900);
    CHECK(served["flood"] >= 450);
}

TEST_CASE("short requests pass long ones that have more time, and are judged by their own run")
{
    // Requests of 600 ms fill the slots while calls of 64 ms with 400 ms left arrive.
    manual_clock clock;
    admission_controller gate(2, 8);
    const auto long_request = [&](std::uint64_t ticket) {
        return gate.request({ticket, "a", 1.0, clock.now() + std::chrono::seconds(4),
                             std::chrono::milliseconds(600)},
                            clock.now());
    };
    const auto short_request = [&](std::uint64_t ticket) {
        return gate.request({ticket, "a", 1.0, clock.now() + std::chrono::milliseconds(400),
                             std::chrono::milliseconds(64)},
                            clock.now());
    };
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket)
    {
        long_request(ticket);
    }
    CHECK(gate.queued() == 2);
    CHECK(short_request(5).result_ == admission_result::queued);
    gate.release(std::chrono::milliseconds(300));
    CHECK(gate.next(clock.now()) == 5);
}

TEST_CASE("slots that silent requests hold promise nothing")
{
    manual_clock clock;
    admission_controller gate(2, 8);
    const instant later = clock.now() + std::chrono::seconds(10);
    gate.request(from(1, "a", later), clock.now());
    gate.request(from(2, "a", later), clock.now());
    gate.set_stalled_count(1);
    CHECK(gate.request(from(3, "a", later), clock.now()).result_ == admission_result::queued);
    gate.set_stalled_count(2);
    CHECK(gate.request(from(4, "a", later), clock.now()).result_ == admission_result::shed);
}

TEST_CASE("a full queue sends away what has most time to go elsewhere")
{
    manual_clock clock;
    admission_controller gate(1, 2);
    const instant now = clock.now();
    gate.request(from(1, "a", now + std::chrono::seconds(9)), now);
    gate.request(from(2, "a", now + std::chrono::seconds(9)), now);
    gate.request(from(3, "a", now + std::chrono::seconds(5)), now);
    const auto decision = gate.request(from(4, "a", now + std::chrono::seconds(1)), now);
    CHECK(decision.result_ == admission_result::queued);
    CHECK(decision.displaced_ticket_ == 2);
    CHECK(gate.request(from(5, "a", now + std::chrono::seconds(8)), now).result_ ==
          admission_result::shed);
}

TEST_CASE("a queued request whose turn does not come is given back while others can still run it")
{
    manual_clock clock;
    admission_controller gate(1, 4);
    const instant now = clock.now();
    gate.request(from(1, "a", now + std::chrono::seconds(9)), now);
    gate.request({2, "a", 1.0, now + std::chrono::seconds(1), std::chrono::milliseconds(300)}, now);
    REQUIRE(gate.next_expiry());
    CHECK(*gate.next_expiry() < now + std::chrono::milliseconds(400));
    clock.advance(std::chrono::milliseconds(400));
    CHECK(gate.take_expired(clock.now()) == std::vector<std::uint64_t>{2});
    CHECK_FALSE(gate.next_expiry());
}
