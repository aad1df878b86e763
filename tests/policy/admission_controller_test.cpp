#include "policy/admission_controller.hpp"

#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace bamboohoist;
using bamboohoist::testing::manual_clock;

namespace {

admission_request make_request(std::uint64_t ticket, std::string_view organisation,
                               instant deadline, double share = 1.0)
{
    return {ticket, organisation, share, deadline};
}

} // namespace

TEST_CASE("the slots are never exceeded and the queue is bounded")
{
    manual_clock clock;
    admission_controller controller(3, 2);
    const instant later = clock.now() + std::chrono::seconds(10);
    std::uint64_t ticket = 0;
    for (int i = 0; i < 3; ++i)
    {
        CHECK(controller.request_slot(make_request(++ticket, "a", later), clock.now()).result_ ==
              admission_result::admitted);
    }
    for (int i = 0; i < 2; ++i)
    {
        CHECK(controller.request_slot(make_request(++ticket, "a", later), clock.now()).result_ ==
              admission_result::queued);
    }
    CHECK(controller.request_slot(make_request(++ticket, "a", later), clock.now()).result_ ==
          admission_result::shed);
    CHECK_FALSE(controller.admit_next(clock.now()));
    controller.release(std::chrono::milliseconds(5));
    CHECK(controller.admit_next(clock.now()) == 4);
    CHECK_FALSE(controller.admit_next(clock.now()));
    CHECK(controller.running() == 3);
}

TEST_CASE("a request that cannot complete before its deadline is shed immediately")
{
    manual_clock clock;
    admission_controller controller(1, 100);
    const instant later = clock.now() + std::chrono::seconds(10);
    CHECK(controller.request_slot(make_request(1, "a", later), clock.now()).result_ ==
          admission_result::admitted);
    const instant soon = clock.now() + std::chrono::milliseconds(1);
    CHECK(controller.request_slot(make_request(2, "a", soon), clock.now()).result_ ==
          admission_result::shed);
}

TEST_CASE("a queued request whose deadline passes expires and is not run")
{
    manual_clock clock;
    admission_controller controller(1, 10);
    CHECK(
        controller
            .request_slot(make_request(1, "a", clock.now() + std::chrono::seconds(9)), clock.now())
            .result_ == admission_result::admitted);
    const instant soon = clock.now() + std::chrono::milliseconds(50);
    CHECK(controller.request_slot(make_request(2, "a", soon), clock.now()).result_ ==
          admission_result::queued);
    clock.advance(std::chrono::milliseconds(51));
    CHECK(controller.take_expired(clock.now()) == std::vector<std::uint64_t>{2});
    controller.release(std::chrono::milliseconds(51));
    CHECK_FALSE(controller.admit_next(clock.now()));
}

TEST_CASE("a full queue sheds from the organisation with the largest part of it")
{
    manual_clock clock;
    admission_controller controller(1, 4);
    const instant later = clock.now() + std::chrono::seconds(10);
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
    {
        controller.request_slot(make_request(ticket, "greedy", later), clock.now());
    }
    const auto decision = controller.request_slot(make_request(6, "modest", later), clock.now());
    CHECK(decision.result_ == admission_result::queued);
    CHECK(decision.displaced_ticket_ == 5);
    controller.release(std::chrono::milliseconds(1));
    CHECK(controller.admit_next(clock.now()) == 6);
}

TEST_CASE("under overload the slots are divided between organisations by weight")
{
    manual_clock clock;
    admission_controller controller(2, 64);
    std::map<std::string, int> served;
    std::map<std::uint64_t, std::string> owner;
    std::uint64_t ticket = 0;
    const auto submit = [&](const std::string& organisation, double share) {
        owner[++ticket] = organisation;
        const auto decision = controller.request_slot(
            make_request(ticket, organisation, clock.now() + std::chrono::seconds(60), share),
            clock.now());
        served[organisation] += decision.result_ == admission_result::admitted ? 1 : 0;
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
            controller.release(std::chrono::milliseconds(1));
        }
        while (const auto next = controller.admit_next(clock.now()))
        {
            ++served[owner[*next]];
        }
    }
    // Two slots per round, divided by weights of 4 in total.
    CHECK(served["small"] >= 450);
    CHECK(served["double"] >= 900);
    CHECK(served["flood"] >= 450);
}

TEST_CASE("short requests overtake long ones with later deadlines")
{
    // Requests of 600 ms fill the slots while requests of 64 ms with 400 ms left arrive. The
    // expected wait is based on the run time of each request.
    manual_clock clock;
    admission_controller controller(2, 8);
    const auto long_request = [&](std::uint64_t ticket) {
        return controller.request_slot({ticket, "a", 1.0, clock.now() + std::chrono::seconds(4),
                                        std::chrono::milliseconds(600)},
                                       clock.now());
    };
    const auto short_request = [&](std::uint64_t ticket) {
        return controller.request_slot({ticket, "a", 1.0,
                                        clock.now() + std::chrono::milliseconds(400),
                                        std::chrono::milliseconds(64)},
                                       clock.now());
    };
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket)
    {
        long_request(ticket);
    }
    CHECK(controller.queued() == 2);
    CHECK(short_request(5).result_ == admission_result::queued);
    controller.release(std::chrono::milliseconds(300));
    CHECK(controller.admit_next(clock.now()) == 5);
}

TEST_CASE("slots of stalled requests are not counted as available")
{
    manual_clock clock;
    admission_controller controller(2, 8);
    const instant later = clock.now() + std::chrono::seconds(10);
    controller.request_slot(make_request(1, "a", later), clock.now());
    controller.request_slot(make_request(2, "a", later), clock.now());
    controller.set_stalled_count(1);
    CHECK(controller.request_slot(make_request(3, "a", later), clock.now()).result_ ==
          admission_result::queued);
    controller.set_stalled_count(2);
    CHECK(controller.request_slot(make_request(4, "a", later), clock.now()).result_ ==
          admission_result::shed);
}

TEST_CASE("a full queue sheds the request with the latest deadline")
{
    manual_clock clock;
    admission_controller controller(1, 2);
    const instant now = clock.now();
    controller.request_slot(make_request(1, "a", now + std::chrono::seconds(9)), now);
    controller.request_slot(make_request(2, "a", now + std::chrono::seconds(9)), now);
    controller.request_slot(make_request(3, "a", now + std::chrono::seconds(5)), now);
    const auto decision =
        controller.request_slot(make_request(4, "a", now + std::chrono::seconds(1)), now);
    CHECK(decision.result_ == admission_result::queued);
    CHECK(decision.displaced_ticket_ == 2);
    CHECK(
        controller.request_slot(make_request(5, "a", now + std::chrono::seconds(8)), now).result_ ==
        admission_result::shed);
}

TEST_CASE("a queued request without a slot expires while another target can still run it")
{
    manual_clock clock;
    admission_controller controller(1, 4);
    const instant now = clock.now();
    controller.request_slot(make_request(1, "a", now + std::chrono::seconds(9)), now);
    controller.request_slot(
        {2, "a", 1.0, now + std::chrono::seconds(1), std::chrono::milliseconds(300)}, now);
    REQUIRE(controller.next_expiry());
    CHECK(*controller.next_expiry() < now + std::chrono::milliseconds(400));
    clock.advance(std::chrono::milliseconds(400));
    CHECK(controller.take_expired(clock.now()) == std::vector<std::uint64_t>{2});
    CHECK_FALSE(controller.next_expiry());
}
