#include "policy/fair_share.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

// Guards against memory that grows with the names that callers make up.
TEST_CASE("organisations that send once each take bounded memory")
{
    fair_share shares;
    for (std::uint64_t organisation = 0; organisation < 100'000; ++organisation)
    {
        shares.record(organisation, 1.0);
        REQUIRE(shares.tracked() <= 256);
    }
}

TEST_CASE("an organisation that is ahead stays behind the others when many are forgotten")
{
    fair_share shares;
    constexpr std::uint64_t busy = 1'000'000;
    shares.record(busy, 0.01); // One slot counts as a hundred.
    for (std::uint64_t organisation = 0; organisation < 1000; ++organisation)
    {
        shares.record(organisation, 1.0);
    }
    CHECK(shares.is_ahead(busy));
    CHECK(shares.received(busy) > shares.received(2'000'000));
}
