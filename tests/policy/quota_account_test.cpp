/// Guards against credits that are used after they expired, given back too late or lost while their
/// request waited, and against an ingress that asks although it was refused.

#include "policy/quota_accounts.hpp"

#include "core/random_source.hpp"
#include "fakes/manual_clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

constexpr quota_limit limit{10.0, 10.0};

quota_reply granted(std::uint32_t credits)
{
    quota_reply reply;
    reply.verdict_ = quota_verdict::granted;
    reply.granted_ = credits;
    reply.valid_ = credit_validity;
    return reply;
}

ref_ptr<const shard_owners> two_nodes()
{
    return ref_ptr<const shard_owners>(new shard_owners({{"a", "a:1"}, {"b", "b:1"}}));
}

} // namespace

TEST_CASE("a leased credit expires after its time and is reported as returned")
{
    manual_clock clock;
    quota_account account({}, limit, 97, clock.now());
    account.begin_ask(1, clock.now());
    CHECK(account.end_ask(granted(3), 1, clock.now()) == 1);
    CHECK(account.take(clock.now()));
    clock.advance(credit_validity);
    CHECK_FALSE(account.take(clock.now()));
    const quota_ask next = account.begin_ask(1, clock.now());
    CHECK(next.used_ == 1);
    CHECK(next.returned_ == 1);
}

// Guards against credits that a busy organisation passes from one refused request to the next while
// its owner's bucket fills: all of them could be used in one window.
TEST_CASE("a credit that is given back again and again can be used for one short time in all")
{
    manual_clock clock;
    quota_account account({}, limit, 97, clock.now());
    account.give_back(clock.now(), clock.now());
    int uses = 0;
    for (int step = 0; step < 20 && account.take(clock.now()); ++step)
    {
        const instant taken = clock.now();
        ++uses;
        clock.advance(std::chrono::milliseconds(100));
        account.give_back(taken, clock.now());
    }
    CHECK(uses == 2);
}

TEST_CASE("a credit that was given back can be used for a short time only")
{
    manual_clock clock;
    quota_account account({}, limit, 97, clock.now());
    const instant taken = clock.now();
    clock.advance(std::chrono::milliseconds(50));
    account.give_back(taken, clock.now());
    CHECK(account.take(clock.now()));
    clock.advance(std::chrono::seconds(1));
    account.give_back(taken, clock.now());
    CHECK_FALSE(account.take(clock.now()));
}

TEST_CASE("the credit of a request that gave up goes to the next one")
{
    manual_clock clock;
    quota_account account({}, limit, 97, clock.now());
    account.begin_ask(2, clock.now());
    CHECK(account.end_ask(granted(2), 0, clock.now()) == 0);
    CHECK(account.take(clock.now()));
    CHECK(account.take(clock.now()));
    CHECK_FALSE(account.take(clock.now()));
}

TEST_CASE("a refusal holds until the time to ask again, and spreads the retries")
{
    manual_clock clock;
    quota_account account({}, limit, 97, clock.now());
    account.begin_ask(1, clock.now());
    quota_reply refused;
    refused.verdict_ = quota_verdict::refused;
    refused.ask_again_ = std::chrono::milliseconds(200);
    refused.retry_after_ = std::chrono::milliseconds(300);
    account.end_ask(refused, 1, clock.now());
    const auto first = account.refuse_by_last_reply(clock.now());
    const auto second = account.refuse_by_last_reply(clock.now());
    REQUIRE(first);
    REQUIRE(second);
    CHECK(*first == std::chrono::milliseconds(300));
    CHECK(*second == std::chrono::milliseconds(400));
    clock.advance(std::chrono::milliseconds(200));
    CHECK_FALSE(account.refuse_by_last_reply(clock.now()));
}

TEST_CASE("the fixed shares of all ingresses stay within their part of the tolerance")
{
    manual_clock clock;
    random_source random(7);
    constexpr std::size_t ingresses = 97;
    std::size_t admitted = 0;
    std::vector<quota_account> accounts(ingresses,
                                        quota_account({}, limit, ingresses, clock.now()));
    for (int step = 0; step < 50; ++step)
    {
        for (quota_account& account : accounts)
        {
            admitted += account.take_fixed(random.uniform(), clock.now()) ? 1 : 0;
        }
        clock.advance(std::chrono::milliseconds(100));
    }
    // The initial part and one window's part, with the deviation of random rounding.
    CHECK(admitted <= 2 * fixed_tolerance_part * quota_tolerance({}, limit) + 8);
    CHECK(admitted >= 1);
}

// Guards against the fixed share of a node that counts no other nodes yet (review/10, QUOTA).
TEST_CASE("before the fleet is known requests wait, and none is admitted by the fixed share")
{
    manual_clock clock;
    quota_accounts accounts({});
    CHECK(accounts.decide("org", limit, 0.0, clock.now()).result_ == quota_decision::result::waits);
    CHECK_FALSE(accounts.begin_ask("org", 1, clock.now()));
    clock.advance(std::chrono::seconds(20));
    CHECK(accounts.decide_without_owner("org", 0.0, clock.now()).result_ ==
          quota_decision::result::refused);
    accounts.set_fleet(two_nodes(), 2, clock.now());
    // What its predecessor may have admitted in the last window is not admitted again.
    CHECK(accounts.decide_without_owner("org", 0.5, clock.now()).result_ ==
          quota_decision::result::refused);
    CHECK(accounts.begin_ask("org", 1, clock.now()));
}

// Guards against a start of all nodes that grants nothing, or to each node the quota of all.
TEST_CASE("until the fleet is known the nodes that the store lists divide most of the rate")
{
    manual_clock clock;
    random_source random(4);
    constexpr std::size_t nodes = 20;
    constexpr quota_limit rates{100.0, 100.0};
    std::vector<quota_accounts> fleet(nodes, quota_accounts({}));
    for (quota_accounts& node : fleet)
    {
        node.set_provisional_parts(nodes, clock.now());
    }
    int admitted = 0;
    for (int step = 0; step < 200; ++step)
    {
        clock.advance(std::chrono::milliseconds(10));
        for (quota_accounts& node : fleet)
        {
            const auto decision = node.decide("org", rates, random.uniform(), clock.now());
            admitted += decision.result_ == quota_decision::result::admitted ? 1 : 0;
        }
    }
    CHECK(admitted > 0.6 * 2.0 * rates.rate_per_s_);
    CHECK(admitted < 0.9 * 2.0 * rates.rate_per_s_);
}

TEST_CASE("the node after the owner is asked when the owner cannot be reached")
{
    manual_clock clock;
    quota_accounts accounts({});
    const auto owners = two_nodes();
    accounts.set_fleet(owners, 2, clock.now());
    const std::size_t shard = shard_owners::shard_of("org");
    CHECK(accounts.decide("org", limit, 0.5, clock.now()).result_ == quota_decision::result::waits);
    auto call = accounts.begin_ask("org", 1, clock.now());
    REQUIRE(call);
    CHECK(call->node_ == *owners->first(shard));
    CHECK_FALSE(accounts.begin_ask("org", 1, clock.now()));
    SUBCASE("because the connection was lost")
    {
        accounts.fail_ask("org", call->node_.node_, false, clock.now());
    }
    SUBCASE("because two replies in a row did not come in time")
    {
        accounts.fail_ask("org", call->node_.node_, true, clock.now());
        call = accounts.begin_ask("org", 1, clock.now());
        REQUIRE(call);
        CHECK(call->node_ == *owners->first(shard));
        accounts.fail_ask("org", call->node_.node_, true, clock.now());
    }
    call = accounts.begin_ask("org", 1, clock.now());
    REQUIRE(call);
    CHECK(call->node_ == *owners->second(shard));
    CHECK(call->ask_.role_ == quota_role::substitute);
    CHECK(call->ask_.owner_ == owners->first(shard)->node_);
    accounts.fail_ask("org", call->node_.node_, false, clock.now());
    CHECK_FALSE(accounts.begin_ask("org", 1, clock.now()));
    CHECK(accounts.decide_waiting("org", 0.99, clock.now()).decider_ == quota_decider::fixed_share);
    clock.advance(std::chrono::milliseconds(300));
    CHECK(accounts.begin_ask("org", 1, clock.now())->node_ == *owners->first(shard));
}
