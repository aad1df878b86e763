#include "policy/process_budget.hpp"

#include <doctest/doctest.h>
#include <initializer_list>

using namespace bamboohoist;

namespace {

constexpr std::size_t mib = 1U << 20U;

} // namespace

// Guards against limits that together exceed the memory of a small VM.
TEST_CASE("rest, bodies and connections fit into the memory")
{
    for (const std::size_t megabytes : {64U, 160U, 512U})
    {
        const auto budget = make_process_budget({megabytes * mib, 8192, 1});
        const std::size_t at_rest = megabytes * mib / 2 < 64 * mib ? megabytes * mib / 2 : 64 * mib;
        CHECK(at_rest + budget.body_bytes_ + budget.caller_connections_ * connection_bytes <
              megabytes * mib);
        CHECK(budget.body_bytes_ >= 16 * mib);
    }
}

// Guards against a limit that clients meet on a machine of ordinary size.
TEST_CASE("a machine of ordinary size allows as many connections and bodies as before")
{
    const auto budget = make_process_budget({16384 * mib, 20000, 1});
    CHECK(budget.caller_connections_ == 4096);
    CHECK(budget.body_bytes_ / 2 >= 2048 * mib);
}

// Guards against callers who take the descriptors that peers and targets need.
TEST_CASE("a quarter of the descriptors is kept from callers")
{
    CHECK(make_process_budget({16384 * mib, 256, 1}).caller_connections_ == 192);
    CHECK(make_process_budget({16384 * mib, 256, 2}).caller_connections_ == 96);
    CHECK(make_process_budget({16384 * mib, 4100, 1}).caller_connections_ == 3075);
}
